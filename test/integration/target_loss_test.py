"""Guards against answers that lack groups or report wrong coverage when targets fail."""

import signal
import time
import unittest

from support import FleetTest, Load, call, journal_faults, parse_groups, wait_until


class TargetLossTest(FleetTest):
    def test_answers_stay_complete_when_one_replica_of_each_group_crashes(self):
        with Load(self.fleet, self.fleet.hosts) as load:
            time.sleep(1)
            crashed = 0
            for replicas in parse_groups(self.fleet.document, "walker-app").values():
                self.fleet.control_target(replicas[0][0], "crash")
                crashed += 1
                time.sleep(0.2)
            time.sleep(3)
        self.report(" ".join(str(self.fleet.entry_status(host)["attempts"])
                             for host in self.fleet.hosts))
        self.report(f"{crashed} crashes, {len(load.sent)} answers, "
                    f"{sum(s.is_complete() for s in load.sent)} complete")
        self.assert_complete(load.sent)

    def test_answers_stay_complete_when_all_targets_of_a_data_centre_are_killed(self):
        # Every group of walker-app has its replicas in three data centres.
        with Load(self.fleet, self.fleet.hosts) as load:
            time.sleep(1)
            # The journals of these targets are lost when their process is killed.
            self.assertEqual(journal_faults(self.fleet), [])
            self.fleet.stop_process("targets-megenagna", signal.SIGKILL)
            time.sleep(5)
        self.fleet.start_targets_of("megenagna")
        wait_until("the targets are back", lambda: call(
            self.fleet.target_admin("megenagna"), "GET", "/targets")[0] == 200)
        self.report(f"{len(load.sent)} answers, "
                    f"{sum(s.is_complete() for s in load.sent)} complete")
        self.assert_complete(load.sent)


if __name__ == "__main__":
    unittest.main(verbosity=2)
