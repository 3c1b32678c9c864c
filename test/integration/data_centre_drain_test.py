"""Guards against new work in a data centre that operators have drained."""

import time
import unittest

from support import DRAIN_S, FleetTest, Load, target_journals, parse_groups, wait_until


class DataCentreDrainTest(FleetTest):
    DATA_CENTRE = "piassa"

    def set_drained(self, drained):
        old, new = ("no", "yes") if drained else ("yes", "no")
        header = f"[data_centre {self.DATA_CENTRE}]\ndrained = "
        self.assertIn(header + old, self.fleet.document)
        self.fleet.publish(self.fleet.document.replace(header + old, header + new))

    def work_starts(self, after_us):
        """Returns target and start time of work in the data centre that began after `after_us`."""
        names = {name for service in ("walker-app", "billing", "owner-portal", "roster")
                 for replicas in parse_groups(self.fleet.document, service).values()
                 for name, _, data_centre in replicas if data_centre == self.DATA_CENTRE}
        return [(name, entry["start_us"]) for name, journal in target_journals(self.fleet).items()
                if name in names for entry in journal["entries"] if entry["start_us"] > after_us]

    def test_a_drained_data_centre_gets_no_new_work_until_the_drain_ends(self):
        with Load(self.fleet, self.fleet.hosts) as load:
            time.sleep(2)
            before = time.time()
            self.set_drained(True)
            self.assertTrue(self.work_starts((before - 2) * 1e6), "no work before the drain")
            time.sleep(DRAIN_S + 6)
            late_starts = self.work_starts((before + DRAIN_S) * 1e6)
            last_start = max([start for _, start in self.work_starts(before * 1e6)],
                             default=before * 1e6)
            returned = time.time()
            self.set_drained(False)
            wait_until("the data centre gets work again", lambda: self.work_starts(returned * 1e6),
                       15.0, 0.2)
            resumed_after_s = time.time() - returned
            time.sleep(1)
        self.report(f"last start {last_start / 1e6 - before:.2f} s after the edit, new work after "
                    f"{resumed_after_s:.1f} s, {len(load.sent)} answers, "
                    f"{sum(s.is_complete() for s in load.sent)} complete")
        self.assertEqual(late_starts, [])
        self.assert_complete(load.sent)


if __name__ == "__main__":
    unittest.main(verbosity=2)
