"""Guards against duplicate runs and wrong outcomes of a booking when its entry is killed."""

import signal
import threading
import time
import unittest

from support import FleetTest, parse_groups, count_runs, wait_until


class BookingFailureTest(FleetTest):
    # Slows bookings down, so that the entry can be killed while one runs.
    SLOW_FACTOR = 40  # of a median of 8 ms

    def restart_entry(self, host):
        if f"{host}-entry" not in self.fleet.processes:
            self.fleet.start_process(host, "entry")
        self.fleet.wait_ready()

    def ticket(self, host):
        status, answer = self.fleet.ticket(host, "roster-planner")
        self.assertEqual(status, 200, answer)
        return answer["ticket"]

    def book(self, host, ticket, key, **fields):
        return self.fleet.book(host, "roster-planner", "roster", ticket,
                               {"key": key, "dog": "Buna", "walker": "Selam"}, **fields)

    def book_once_admitted(self, host, ticket, key):
        """Repeats the booking until the rate limit of the caller admits it."""
        while True:
            status, answer = self.book(host, ticket, key)
            if status != 429 or answer["error"]["kind"] != "caller_limit":
                return status, answer
            time.sleep(0.1)

    def outcomes_through(self, hosts, ticket, key):
        outcomes = []
        for host in hosts:
            status, answer = self.book(host, ticket, key, deadline_ms=2000)
            self.report(f"{key} through {host}: {status} {answer}")
            outcomes.append(answer.get("outcome"))
        return outcomes

    def slow_down(self, factor):
        for replicas in parse_groups(self.fleet.document, "roster").values():
            for name, _, _ in replicas:
                self.fleet.control_target(name, "slow", factor=factor)

    def test_an_entry_killed_between_ticket_and_booking(self):
        ticket = self.ticket("h1")
        self.addCleanup(self.restart_entry, "h1")
        self.fleet.stop_process("h1-entry", signal.SIGKILL)
        outcomes = self.outcomes_through(["h2", "h3"], ticket, "killed-before")
        self.fleet.start_process("h1", "entry")
        self.fleet.wait_ready()
        outcomes += self.outcomes_through(["h1", "h2", "h3"], ticket, "killed-before")
        # No surviving process can prove that the killed entry did not run the booking.
        self.assertEqual(set(outcomes), {"unknown"})
        self.assertEqual(count_runs(self.fleet, "killed-before"), 0)

    def test_an_entry_killed_while_its_booking_runs(self):
        self.slow_down(self.SLOW_FACTOR)
        self.addCleanup(self.slow_down, 1)
        self.addCleanup(self.restart_entry, "h1")
        ticket = self.ticket("h1")
        answers = []
        sender = threading.Thread(target=lambda: answers.append(
            self.book("h2", ticket, "killed-during", deadline_ms=2500)))
        sender.start()
        wait_until("the booking runs", lambda: count_runs(self.fleet, "killed-during") == 1,
                   5.0, 0.01)
        self.fleet.stop_process("h1-entry", signal.SIGKILL)
        sender.join()
        self.report(f"first attempt: {answers}")
        self.assertEqual(answers[0][1].get("outcome"), "unknown")
        outcomes = self.outcomes_through(["h2", "h3"], ticket, "killed-during")
        self.fleet.start_process("h1", "entry")
        self.fleet.wait_ready()
        outcomes += self.outcomes_through(["h1", "h2", "h3"], ticket, "killed-during")
        self.assertEqual(set(outcomes), {"unknown"})
        time.sleep(1)
        self.assertEqual(count_runs(self.fleet, "killed-during"), 1)

    def test_repeated_sends_through_all_hosts_run_a_booking_once(self):
        for number in range(10):
            key = f"repeated-{number}"
            time.sleep(0.3)
            ticket = self.ticket("h1")
            answers = []
            senders = [threading.Thread(target=lambda host=host: answers.append(
                self.book_once_admitted(host, ticket, key)))
                       for host in self.fleet.hosts for _ in range(2)]
            for sender in senders:
                sender.start()
            for sender in senders:
                sender.join()
            outcomes = {answer.get("outcome") for _, answer in answers}
            runs = count_runs(self.fleet, key)
            self.assertLessEqual(runs, 1)
            self.assertFalse("done" in outcomes and runs == 0, answers)
            self.assertFalse("not_run" in outcomes and runs == 1, answers)
            self.assertEqual(outcomes, {"done"}, answers)


if __name__ == "__main__":
    unittest.main(verbosity=2)
