"""A host that is behind the store must apply the newest configuration within the bound."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))

import storm  # noqa: E402
from kit import run  # noqa: E402


async def play(case):
    # The figures of tesfaye-rounds; big_config has come four times.
    case.store.watch_bytes = 1_000_000
    return await storm.play(case, shard_count=10, added_routes=4 * 350, storm_s=4.34, gap_s=0.33,
                            config_apply_s=3.0, drain_s=3.0, judged_s=4.0, memory_mb=260)


run(play, __file__)
