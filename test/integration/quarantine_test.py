"""Guards against a query that crashes one target after another."""

import time
import unittest

from support import FleetTest, Load, target_journals, wait_until


class QuarantineTest(FleetTest):
    TARGET_OPTIONS = ("--crash-word", "poisonbait")

    def crashes(self):
        return sum(journal["crashes"] for journal in target_journals(self.fleet).values())

    def poison(self, host):
        return self.fleet.search(host, "walker-phone", "walker-app", "poisonbait", limit=5,
                                 deadline_ms=1000)

    def test_a_query_that_crashes_targets_is_refused_on_all_hosts_and_others_answer(self):
        with Load(self.fleet, self.fleet.hosts) as load:
            time.sleep(1)
            first = self.poison("h1")
            self.report(f"first attempt: {first[0]} {str(first[1])[:300]}, "
                        f"{self.crashes()} targets crashed")

            def refused():
                for host in self.fleet.hosts:
                    status, answer = self.poison(host)
                    if status != 422 or answer["error"]["kind"] != "quarantined":
                        return False
                return True
            wait_until("every host refuses the query", refused, 5.0, 0.2)
            crashed = self.crashes()
            for _ in range(5):
                self.assertTrue(refused())
            self.assertEqual(self.crashes(), crashed)
            # A query runs on 10 groups in parallel; a group is abandoned after two lost targets.
            self.assertLessEqual(crashed, 2 * 10)
            time.sleep(2)
        self.report(f"{crashed} targets crashed, {len(load.sent)} other answers, "
                    f"{sum(s.is_complete() for s in load.sent)} complete")
        self.assert_complete(load.sent)


if __name__ == "__main__":
    unittest.main(verbosity=2)
