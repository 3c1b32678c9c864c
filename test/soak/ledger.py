"""Events observed by callers, targets and operators, and the guarantees checked on them.

Checks run as events arrive. A violation names its guarantee, so that the failure of a
seed can be traced; the names are those of docs/PROOFS.md.
"""

import bisect
import time
from collections import defaultdict

# Bounds from the specification of the platform, in seconds unless the name gives another unit.
SETTLE_S = 4.0
DRAIN_S = 3.0
EVACUATE_S = 5.0
CONFIG_APPLY_S = 3.0
REGRESS_SLACK_S = 0.25
GRACE_S = 6.0
LOSS_SLACK_S = 0.2
LATE_SLACK_S = 0.5
COLD_BURST = 1.5
COLD_SLACK = 5
RETRY_RATIO = 0.2
RETRY_SLACK = 54
RETRY_WINDOW_S = 10.0
RECORD_BYTES = 16
# A pause of the event loop above this invalidates time checks on what the soak observed meanwhile.
STALL_S = 0.3
# Numbers of requests that the rules of the platform tolerate before a check fails.
GONE_ALLOWED = 3
PAUSE_ARRIVALS_ALLOWED = 2
OVER_ATTEMPTS_ALLOWED = 3
POISON_CRASHES = 3
POISON_RETRIES_ALLOWED = 3

NOT_RUN_STATUSES = (408, 421, 429, 503)


class Attempt:
    """One attempt of a caller to get an answer."""

    def __init__(self, request_id, route, host, method, path, body, deadline_s, is_probe=False):
        self.id = request_id
        self.is_probe = is_probe
        self.route = route
        self.host = host
        self.method = method
        self.path = path
        self.body = body
        self.deadline_s = deadline_s
        self.start = time.monotonic()
        self.end = None
        self.left = None  # when the caller disconnected without waiting for the answer
        self.status = None
        self.failure = None
        self.refused = False
        self.runs = []  # (service, target)
        self.arrivals = []  # (time, service, target)


class Stamp:
    """Identifies one answer of a target, with the status and body that the target sent."""

    def __init__(self, service, request_id, status, body):
        self.service = service
        self.request_id = request_id
        self.status = status
        self.body = body


class Ledger:
    def __init__(self):
        self.start = time.monotonic()
        self.last_tick = self.start  # when the event loop was last seen running
        self.violations = []
        self.counts = defaultdict(int)
        self.sent = {}
        self.stamps = {}
        self.versions = []  # (acknowledged, Configuration)
        # Of hosts, targets, "store" and "soak": [(start, end, is planned)].
        self.disturbed = defaultdict(list)
        self.closed_targets = {}  # target id -> time from which it must get no new work
        # (host, target) -> when the target first told the host that it leaves.
        self.told_leaving = {}
        # (host, target) -> [start and end of the pause, arrivals in it] of the last pause asked for.
        self.told_pause = {}
        self.evacuations = []  # [zone, acknowledged, revoked or None]
        self.cold_arrivals = defaultdict(list)
        self.service_arrivals = defaultdict(list)  # service -> [(time, is repeat)]
        self.service_requests = defaultdict(list)
        self.poisoned = defaultdict(list)  # path -> [(time, request)] of crashes
        self.seen_versions = {}  # (host, incarnation) -> (newest version seen in force, time)

    def violation(self, guarantee, text):
        line = f"{time.monotonic() - self.start:8.3f} {guarantee}: {text}"
        self.violations.append(line)
        print(line, flush=True)

    # Disturbances.

    def disturb(self, name, seconds, planned=False):
        start = time.monotonic()
        self.disturbed[name].append((start, start + seconds, planned))

    def is_stable(self, name, moment, before_s=SETTLE_S, ignore_planned=False):
        return all(end <= moment - before_s or start > moment or (planned and ignore_planned)
                   for start, end, planned in self.disturbed[name])

    def host_is_stable(self, host, moment):
        """Whether no recent disturbance of the host, its links, the store or the soak is known."""
        return (self.is_stable(host, moment) and self.is_stable("store", moment)
                and self.is_stable("soak", moment) and not self.is_stalled())

    def is_stalled(self):
        """Whether a pause of the event loop has just ended that is not recorded as disturbance yet."""
        return time.monotonic() - self.last_tick > STALL_S

    # Configurations.

    def publish(self, configuration):
        self.versions.append((time.monotonic(), configuration))

    def may_run(self, route, service):
        return any(service in c.services_of(route) for _, c in self.versions)

    def in_force(self, moment):
        """Configurations that an undisturbed host may use at `moment`."""
        allowed = []
        for i, (acknowledged, configuration) in enumerate(self.versions):
            replaced = self.versions[i + 1][0] if i + 1 < len(self.versions) else float("inf")
            if acknowledged <= moment + 0.001 and moment <= replaced + CONFIG_APPLY_S:
                allowed.append(configuration)
        return allowed

    # Events of targets.

    def on_arrival(self, target, message):
        """Records a request that reached its intended target."""
        now = time.monotonic()
        request_id = message.header("Request-Id")
        sent = self.sent.get(request_id)
        self.counts["arrivals"] += 1
        if sent is None:
            self.violation("UNASKED", f"{target.id} received the unknown request {request_id}")
            return
        if (message.start[0], message.start[1], message.body) != (sent.method, sent.path, sent.body):
            self.violation("UNASKED", f"{request_id} was changed in transit: {message.start}")
        repeat = any(service == target.service for _, service, _ in sent.arrivals)
        sent.arrivals.append((now, target.service, target.id))
        self.service_arrivals[target.service].append((now, repeat))
        if not self.may_run(sent.route, target.service):
            self.violation("ROUTE", f"{request_id} of {sent.route} reached {target.service}")
        self._check_timeout_header(sent, message, now)
        self._check_closed(sent, target, now)
        self._check_told(sent, target, now)
        if sent.left is not None and now > sent.left + LATE_SLACK_S and self.host_is_stable(
                sent.host, now):
            self.counts["gone"] += 1
            if self.counts["gone"] == GONE_ALLOWED + 1:
                self.violation("GONE", f"{request_id} {now - sent.left:.1f} s after its caller left")
        if target.is_cold(now):
            self._check_cold(target, now)

    def _check_timeout_header(self, sent, message, now):
        if not self.host_is_stable(sent.host, now):
            return
        given = message.header("Timeout-Ms")
        left = sent.deadline_s - (now - sent.start)
        if given is None or int(given) / 1000 > left + LATE_SLACK_S:
            self.violation("BUDGET", f"{sent.id} was sent to a target with Timeout-Ms {given}, "
                                     f"{left * 1000:.0f} ms are left")

    def _check_closed(self, sent, target, now):
        if not self.host_is_stable(sent.host, now) or not self.is_stable(target.id, now):
            return
        closed = self.closed_targets.get(target.id)
        if closed is not None and now > closed + DRAIN_S:
            self.violation("DRAIN", f"{sent.id} from {sent.host} reached {target.id} "
                                    f"{now - closed:.2f} s after it was closed")
        for zone, acknowledged, revoked in self.evacuations:
            if (zone == target.zone and now > acknowledged + EVACUATE_S
                    and (revoked is None or now < revoked)):
                self.violation("EVAC", f"{sent.id} from {sent.host} reached {target.id} "
                                       f"{now - acknowledged:.2f} s after {zone} was drained")

    def on_told_leaving(self, target, message):
        """Records that a target tells a host that it leaves."""
        sent = self.sent.get(message.header("Request-Id"))
        if sent is not None:
            self.told_leaving.setdefault((sent.host, target.id), time.monotonic())

    def on_told_pause(self, target, message, pause_s):
        """Records that a target asks a host for no requests for `pause_s`."""
        sent = self.sent.get(message.header("Request-Id"))
        if sent is not None:
            now = time.monotonic()
            known = self.told_pause.get((sent.host, target.id))
            if known is None or now + pause_s > known[1]:
                self.told_pause[(sent.host, target.id)] = [now + LATE_SLACK_S, now + pause_s, 0]

    def _check_told(self, sent, target, now):
        if not self.host_is_stable(sent.host, now) or not self.is_stable(target.id, now):
            return
        told = self.told_leaving.get((sent.host, target.id))
        if told is not None and sent.start > told + DRAIN_S:
            self.violation("DRAIN", f"{sent.id} from {sent.host} reached {target.id} "
                                    f"{now - told:.2f} s after it had said that it leaves")
        pause = self.told_pause.get((sent.host, target.id))
        if pause is not None and pause[0] < now < pause[1]:
            pause[2] += 1
            if pause[2] == PAUSE_ARRIVALS_ALLOWED + 1:
                self.violation("BUDGET", f"{sent.id} from {sent.host} reached {target.id} "
                                         f"{pause[1] - now:.2f} s before the end of its pause")

    def _check_cold(self, target, now):
        times = self.cold_arrivals[target.id]
        times.append(now)
        recent = len(times) - bisect.bisect_left(times, now - 1.0)
        if recent > target.cold_per_s * COLD_BURST + COLD_SLACK:
            self.violation("FAILBACK", f"the cold target {target.id} got {recent} requests in 1 s")

    def on_run(self, target, message):
        """Records that a target has started to execute a request."""
        sent = self.sent.get(message.header("Request-Id"))
        if sent is None:
            return
        sent.runs.append((target.service, target.id))
        if sent.method == "POST":
            if len(sent.runs) > 1:
                self.violation("TWICE", f"{sent.id} ran on {sent.runs}")
            if sent.refused:
                self.violation("REFUSED", f"{sent.id} was executed after its refusal")
        same = {target_id for service, target_id in sent.runs if service == target.service}
        if len(same) > sent.route_attempts:
            self.counts["over_attempts"] += 1
            if self.counts["over_attempts"] == OVER_ATTEMPTS_ALLOWED + 1:
                self.violation("BUDGET", f"{sent.id} ran on {sorted(same)}")

    def on_poisoned(self, message):
        """Records that a request has crashed the target that started to execute it."""
        crashes = self.poisoned[message.start[1]]
        crashes.append((time.monotonic(), message.header("Request-Id")))
        if len(crashes) < POISON_CRASHES:
            return
        due = crashes[POISON_CRASHES - 1][0] + SETTLE_S
        late = {request_id for moment, request_id in crashes
                if moment > due and self.host_is_stable(self.sent[request_id].host, moment)}
        if len(late) > POISON_RETRIES_ALLOWED:
            self.violation("BUDGET", f"{message.start[1]} crashed targets in {len(late)} attempts "
                                     f"later than {SETTLE_S} s after its third crash")

    def on_stamp(self, stamp, value):
        self.stamps[stamp] = value

    # Events of callers.

    def on_sent(self, sent, route):
        sent.route_attempts = route["max_attempts"]
        self.sent[sent.id] = sent
        self.counts["sent"] += 1
        now = time.monotonic()
        for service in self.versions[-1][1].services_of(sent.route):
            self.service_requests[service].append(now)

    def on_answer(self, sent, message):
        sent.end = time.monotonic()
        sent.status = message.status
        self.counts[f"status {message.status}"] += 1
        stamp = self.stamps.get(message.header("Response-Stamp"))
        if 200 <= message.status < 300:
            if message.header("Part-Stamps") is not None:
                self._check_merged(sent, message)
            elif stamp is None or stamp.request_id != sent.id:
                self.violation("MIXED", f"{sent.id} was answered without a stamp of its target")
            elif stamp.status != message.status or stamp.body != message.body:
                self.violation("MIXED", f"{sent.id} got an answer other than its target sent")
        elif stamp is not None and (stamp.status != message.status or stamp.request_id != sent.id):
            self.violation("MIXED", f"{sent.id} failed with the stamp of another answer")
        if message.status in NOT_RUN_STATUSES and stamp is None:
            sent.refused = True
            if sent.method == "POST" and sent.runs:
                self.violation("REFUSED", f"{sent.id} got {message.status} and ran on {sent.runs}")
        if 300 <= message.status < 500 and message.status not in NOT_RUN_STATUSES and stamp is None:
            allowed = self.in_force(sent.start)
            if allowed and all(sent.route in c.routes for c in allowed):
                self.violation("DENIED", f"{sent.id} of {sent.route} got {message.status}")

    def _check_merged(self, sent, message):
        stamps = [s.strip() for s in message.header("Part-Stamps").split(",")]
        missing = int(message.header("Missing-Parts") or 0)
        parts = [self.stamps.get(stamp) for stamp in stamps]
        for stamp, part in zip(stamps, parts):
            if part is None or part.request_id != sent.id or not 200 <= part.status < 300:
                self.violation("MIXED", f"{sent.id} names part {stamp}, which is none of its own")
                return
        services = {part.service for part in parts}
        sets = [c.routes[sent.route] for _, c in self.versions if sent.route in c.routes]
        matching = [r for r in sets if services <= set(r["gather"])
                   and len(r["gather"]) == len(parts) + missing]
        if len(services) != len(parts) or not matching:
            self.violation("MIXED", f"{sent.id} has parts of {sorted(services)}, {missing} missing")
            return
        route = matching[-1]
        if len(parts) < route["min_coverage"] * len(route["gather"]) - 1e-9:
            self.violation("MIXED", f"{sent.id} succeeded with {len(parts)} parts")
        records = []
        for part in parts:
            whole = len(part.body) // RECORD_BYTES * RECORD_BYTES
            records += [part.body[i:i + RECORD_BYTES] for i in range(0, whole, RECORD_BYTES)]
        records.sort(reverse=True)
        if message.body != b"".join(records[:route["top_k"]]):
            self.violation("MIXED", f"{sent.id} has records that differ from those of its parts")
        self.counts["partial" if missing else "complete"] += 1

    def on_failure(self, sent, failure):
        """Records an attempt that ended without an answer."""
        sent.end = time.monotonic()
        sent.failure = failure
        self.counts[f"failure {failure}"] += 1

    def on_version_seen(self, host, incarnation, version, sent_at, served):
        """Records the answer to a probe of the route that only `version` has."""
        if served is None:
            return
        newest = self.seen_versions.get((host, incarnation))
        if served:
            if newest is not None and version < newest[0] and sent_at > newest[1] + REGRESS_SLACK_S:
                self.violation("CONFIG", f"{host} went back from version {newest[0]} to {version}")
            if newest is None or version > newest[0]:
                self.seen_versions[(host, incarnation)] = (version, time.monotonic())
        due = [a for a, c in self.versions if c.version == version][0] + CONFIG_APPLY_S
        current = self.versions[-1][1].version == version
        if not served and current and sent_at > due and self.host_is_stable(host, time.monotonic()):
            self.violation("CONFIG", f"{host} lacks version {version} "
                                     f"{sent_at - due + CONFIG_APPLY_S:.1f} s after it was published")

    # Checks over the whole run.

    def finish(self):
        for sent in self.sent.values():
            self._check_deadline(sent)
        for service in self.service_arrivals:
            self._check_retries(service)

    def _check_deadline(self, sent):
        end = sent.end if sent.end is not None else time.monotonic()
        if sent.left is None and end - sent.start > sent.deadline_s + LATE_SLACK_S:
            if self.is_stable(sent.host, end) and self.is_stable("soak", end):
                self.violation("CONFIG", f"{sent.id} of {sent.route} took {end - sent.start:.2f} s")

    def _check_retries(self, service):
        arrivals = self.service_arrivals[service]
        requests = self.service_requests[service]
        repeats = [moment for moment, repeat in arrivals if repeat]
        for i, moment in enumerate(repeats):
            count = i + 1 - bisect.bisect_left(repeats, moment - RETRY_WINDOW_S)
            asked = max(self._count(requests, moment - RETRY_WINDOW_S, moment),
                        self._count(requests, moment - 2 * RETRY_WINDOW_S, moment - RETRY_WINDOW_S))
            if count > RETRY_RATIO * asked + RETRY_SLACK:
                self.violation("BUDGET", f"{service} got {count} repeats of {asked} requests in 10 s")
                return

    @staticmethod
    def _count(times, start, end):
        return bisect.bisect_right(times, end) - bisect.bisect_left(times, start)

    def success_share(self, start, end):
        """Share of successful attempts among those that callers sent from `start` to `end`."""
        sent = [s for s in self.sent.values() if start <= s.start < end and not s.is_probe]
        good = [s for s in sent if s.status is not None and 200 <= s.status < 300]
        return len(good) / len(sent) if sent else 0.0
