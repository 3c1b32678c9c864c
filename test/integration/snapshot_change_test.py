"""Guards against answers that mix records of two snapshots."""

import time
import unittest

from support import FleetTest, Load, parse_groups


class SnapshotChangeTest(FleetTest):
    def test_every_answer_is_of_one_snapshot_while_the_index_changes(self):
        old = {"index": 1, "map": 1, "groups": 10}
        new = {"index": 2, "map": 1, "groups": 10}
        groups = parse_groups(self.fleet.document, "walker-app")
        with Load(self.fleet, self.fleet.hosts) as load:
            time.sleep(1)
            for held in ([old, new], [new]):
                for replica in range(3):
                    for replicas in groups.values():
                        self.fleet.control_target(replicas[replica][0], "snapshots",
                                                  snapshots=held)
                        time.sleep(0.1)
            time.sleep(2)
        mixed = [s for s in load.sent if s.status == 200 and any(
            record["as_of"] != s.body["snapshot"]["index"] for record in s.body["records"])]
        answered = [s for s in load.sent if s.status == 200]
        indexes = [s.body["snapshot"]["index"] for s in answered]
        self.report(f"{len(load.sent)} sent, {len(answered)} answered, "
                    f"{sum(s.is_complete() for s in load.sent)} complete, "
                    f"{indexes.count(1)} of index 1, {indexes.count(2)} of index 2")
        self.assertEqual(mixed, [])
        self.assertEqual([s for s in load.sent if s.failure is not None], [])
        self.assertIn(1, indexes)
        self.assertEqual(indexes[-1], 2)
        # At any time, some snapshot is held by at least one replica of every group.
        self.assertEqual([s for s in load.sent if not s.is_complete()], [])


if __name__ == "__main__":
    unittest.main(verbosity=2)
