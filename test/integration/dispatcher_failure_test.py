"""Guards against targets with two owners, or none, when a dispatcher or agent fails."""

import signal
import time
import unittest

from support import OWNERSHIP_RECOVERY_S, FleetTest, Load, OwnershipSamples, wait_until


class DispatcherFailureTest(FleetTest):
    # With 5 hosts, the replicas of a hearing-desk group have dispatchers on different hosts.
    HOSTS = 5
    FRESH_FLEET = True
    DEPLOYMENT = "association"
    SERVICE = ("clerk-desk", "hearing-desk", "canterbury")

    def owned_by(self, host):
        return {t["target"] for t in self.fleet.dispatcher_status(host)["targets"] if t["owned"]}

    def owned_by_others(self, failed):
        owned = set()
        for host in self.fleet.hosts:
            if host != failed:
                owned |= self.owned_by(host)
        return owned

    def run_failure(self, fail, recover, failed, lost_process_answers):
        """Injects a failure under load and samples the owners until the targets are owned again."""
        others = [host for host in self.fleet.hosts if host != failed]
        before = self.owned_by(failed)
        self.assertTrue(before, f"{failed} owned nothing before the failure")
        with OwnershipSamples(self.fleet) as samples, \
                Load(self.fleet, self.fleet.hosts, *self.SERVICE) as load:
            time.sleep(1)
            start = time.monotonic()
            fail()
            recover_at = recover(start)

            def owned_again():
                owned = self.owned_by_others(failed)
                if lost_process_answers():
                    owned |= self.owned_by(failed)
                return before <= owned
            wait_until("the targets of the lost process are owned", owned_again,
                       max(0.1, recover_at + OWNERSHIP_RECOVERY_S - time.monotonic()))
            owned_after = time.monotonic() - start
            time.sleep(4)
        self.wait_all_owned()
        self.report(f"{len(before)} targets owned again {owned_after:.1f} s after the failure; "
                    f"{samples.sample_count()} samples, {len(load.sent)} answers, "
                    f"{sum(s.is_complete() for s in load.sent)} complete")
        self.assertGreater(samples.sample_count(), 40)
        self.assertEqual(samples.double_owners(), [], self.fleet.run_dir)
        self.assert_correct(load.sent)
        for host in others:
            self.assertTrue(any(s.is_complete() for s in load.sent if s.host == host))

    def test_a_killed_dispatcher_is_replaced_by_its_restarted_process(self):
        def fail():
            self.fleet.stop_process("h1-dispatcher", signal.SIGKILL)

        def recover(start):
            self.fleet.start_process("h1", "dispatcher")
            return start
        self.run_failure(fail, recover, "h1", lambda: True)

    def test_targets_of_a_killed_dispatcher_pass_to_other_hosts(self):
        def fail():
            self.fleet.stop_process("h2-dispatcher", signal.SIGKILL)
        self.run_failure(fail, lambda start: start, "h2", lambda: False)

    def freeze(self, host, role):
        name = f"{host}-{role}"

        def fail():
            self.fleet.signal_process(name, signal.SIGSTOP)

        def recover(start):
            wait_until("the others own the targets of the frozen process",
                       lambda: self.frozen_targets <= self.owned_by_others(host), 6.0)
            self.report(f"others own all after {time.monotonic() - start:.1f} s of the freeze")
            time.sleep(max(0.0, start + 6 - time.monotonic()))
            self.fleet.signal_process(name, signal.SIGCONT)
            return time.monotonic()
        self.frozen_targets = self.owned_by(host)
        self.run_failure(fail, recover, host, lambda: True)

    def test_a_dispatcher_that_freezes_and_wakes_shares_no_target(self):
        self.freeze("h5", "dispatcher")

    def test_an_agent_that_freezes_and_wakes_shares_no_target(self):
        self.freeze("h5", "agent")


if __name__ == "__main__":
    unittest.main(verbosity=2)
