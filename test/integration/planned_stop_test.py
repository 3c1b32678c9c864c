"""Guards against requests that are aborted when the processes of a host are stopped."""

import signal
import time
import unittest

from support import FleetTest, Load


class PlannedStopTest(FleetTest):
    # With 5 hosts, the replicas of a hearing-desk group have dispatchers on different hosts.
    HOSTS = 5
    FRESH_FLEET = True
    DEPLOYMENT = "association"
    SERVICE = ("clerk-desk", "hearing-desk", "canterbury")

    def stop_under_load(self, role):
        with Load(self.fleet, self.fleet.hosts, *self.SERVICE, pause=0.05) as load:
            time.sleep(1)
            start = time.monotonic()
            code = self.fleet.stop_process(f"h1-{role}")
            ended = time.monotonic()
            time.sleep(4)
        self.fleet.start_process("h1", role)
        self.fleet.wait_ready()
        self.report(f"exit code {code} after {ended - start:.2f} s, {len(load.sent)} sent, "
                    f"{sum(s.is_complete() for s in load.sent)} complete")
        self.assertEqual(code, 0, f"logs in {self.fleet.run_dir}")
        return load.sent

    def test_a_stopped_host_cuts_off_no_request(self):
        with Load(self.fleet, self.fleet.hosts[1:], *self.SERVICE, pause=0.05) as load:
            time.sleep(1)
            roles = ("entry", "dispatcher", "agent")
            for role in roles:
                self.fleet.signal_process(f"h1-{role}", signal.SIGTERM)
            codes = {role: self.fleet.wait_process(f"h1-{role}") for role in roles}
            time.sleep(4)
        self.fleet.start_host("h1")
        self.fleet.wait_ready()
        self.report(f"exit codes {codes}, {len(load.sent)} sent, "
                    f"{sum(s.is_complete() for s in load.sent)} complete")
        self.assertEqual(set(codes.values()), {0})
        self.assert_complete(load.sent)

    def test_a_stopped_entry_answers_every_request_it_took(self):
        sent = self.stop_under_load("entry")
        # Until the load balancer removes the host, a request to it is answered, refused
        # with a typed error, or fails to connect.
        refused = [s for s in sent if s.host == "h1" and (
            isinstance(s.failure, ConnectionRefusedError)
            or (s.status == 503 and s.body.get("error", {}).get("kind") == "draining"))]
        self.assert_complete([s for s in sent if s not in refused])
        self.assertTrue(any(s.host == "h1" and s.is_complete() for s in sent))

    def test_a_stopped_dispatcher_cuts_off_no_request(self):
        self.assert_complete(self.stop_under_load("dispatcher"))

    def test_a_stopped_agent_cuts_off_no_request(self):
        self.assert_complete(self.stop_under_load("agent"))


if __name__ == "__main__":
    unittest.main(verbosity=2)
