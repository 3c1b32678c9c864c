"""Guards against loss or rollback of the configuration when the platform fails."""

import signal
import time
import unittest
import urllib.request

from support import CONFIG_APPLY_S, FleetTest, Load, wait_until


class ConfigurationTest(FleetTest):
    def in_force(self, host):
        document = self.fleet.agent_status(host)["document"]
        return document["revision"], document["digest"]

    def served_revision(self):
        with urllib.request.urlopen(f"http://{self.fleet.platform}/v1/document") as response:
            return int(response.headers["X-Revision"])

    def publish_rate(self, rate):
        """Publishes a new revision that changes the rate of one caller."""
        lines = self.fleet.document.splitlines()
        line_index = lines.index("[caller walker-phone]") + 1
        lines[line_index] = f"rate = {rate}/s"
        self.fleet.publish("\n".join(lines) + "\n")

    def wait_in_force(self, revision, timeout=CONFIG_APPLY_S):
        start = time.monotonic()

        def in_force_everywhere():
            statuses = [self.fleet.agent_status(host)["document"]["revision"]
                        for host in self.fleet.hosts]
            for host in self.fleet.hosts:
                statuses.append(self.fleet.entry_status(host)["document"])
                statuses.append(self.fleet.dispatcher_status(host)["document"])
            return all(status == revision for status in statuses)
        wait_until(f"revision {revision} is in force in every process", in_force_everywhere,
                   timeout)
        return time.monotonic() - start

    def test_the_configuration_stays_while_the_platform_is_down_or_serves_an_older_revision(self):
        self.publish_rate(240)
        newest = self.fleet.revision
        self.report(f"in force everywhere after {self.wait_in_force(newest):.2f} s")
        expected = {host: self.in_force(host) for host in self.fleet.hosts}
        with Load(self.fleet, self.fleet.hosts) as load:
            self.fleet.platform_control({"command": "down"})
            self.addCleanup(self.fleet.platform_control, {"command": "up"})
            time.sleep(4)
            self.assertEqual({host: self.in_force(host) for host in self.fleet.hosts}, expected)
            self.fleet.platform_control({"command": "older", "revision": 1})
            self.addCleanup(self.fleet.platform_control, {"command": "older", "on": False})
            self.fleet.platform_control({"command": "up"})
            end = time.monotonic() + 5
            while time.monotonic() < end:
                self.assertEqual({host: self.in_force(host) for host in self.fleet.hosts}, expected)
                time.sleep(0.2)
            self.assertEqual(self.served_revision(), 1)
        self.assert_complete(load.sent)

    def test_the_newest_revision_survives_the_replacement_of_all_hosts(self):
        self.publish_rate(230)
        newest = self.fleet.revision
        self.wait_in_force(newest)
        digest = self.in_force("h1")[1]
        self.fleet.platform_control({"command": "older", "revision": 1})
        self.addCleanup(self.fleet.platform_control, {"command": "older", "on": False})
        for host in self.fleet.hosts:
            for role in ("entry", "dispatcher", "agent"):
                self.fleet.stop_process(f"{host}-{role}", signal.SIGKILL)
            self.fleet.start_host(host)
            # Allows for process start, quiet period and join_wait of the new processes.
            elapsed_s = self.wait_in_force(newest, 8.0)
            self.report(f"{host} replaced, newest revision everywhere after {elapsed_s:.1f} s")
            self.wait_all_owned()
        self.assertEqual(self.served_revision(), 1)
        for host in self.fleet.hosts:
            self.assertEqual(self.in_force(host), (newest, digest))
        refused = sum(self.fleet.agent_status(host)["document"]["stale_refused"]
                      for host in self.fleet.hosts)
        self.report(f"{refused} stale documents refused")
        self.fleet.platform_control({"command": "older", "on": False})
        self.publish_rate(220)
        self.wait_in_force(self.fleet.revision)


if __name__ == "__main__":
    unittest.main(verbosity=2)
