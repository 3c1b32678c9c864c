"""A host that is handed several large configurations in one reply must apply the newest."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))

import storm  # noqa: E402
from kit import run  # noqa: E402


async def play(case):
    # The figures of tesfaye-rounds-grown; a reply of the store holds all events there are.
    return await storm.play(case, shard_count=36, added_routes=1400, storm_s=4.57, gap_s=0.161,
                            config_apply_s=5.0, drain_s=5.0, judged_s=6.0, memory_mb=512)


run(play, __file__)
