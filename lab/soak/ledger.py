"""Records what callers and upstreams observe in a soak, and checks it."""

import bisect
import collections
import dataclasses
import math
import time
from typing import Final

# Bounds in seconds that the daemons must keep. The soak writes the first two
# to their settings.
REVOKE_S: Final = 3.0
APPLY_S: Final = 2.0
DRAIN_S: Final = 2.0
ROLLBACK_S: Final = 0.25
# A machine counts as undisturbed once this time in seconds has passed since
# its last fault.
STABLE_S: Final = 3.0
QUOTA_WINDOW_S: Final = 5.0
QUOTA_TOLERANCE: Final = 0.1
QUOTA_SLACK: Final = 20.0
BUDGET_WINDOW_S: Final = 10.0
BUDGET_RATIO: Final = 0.2
BUDGET_SLACK: Final = 48.0
EVACUATE_S: Final = 3.0
# Requests per second that a cold upstream tolerates, and what the bound allows
# beyond them in any second.
COLD_RATE_PER_S: Final = 10.0
COLD_EXCESS: Final = 1.5
COLD_SLACK: Final = 8.0
# A request may crash three upstreams before the daemons must refuse it, and
# three more while this spreads to all daemons.
MAX_CRASHES: Final = 6
# After a request has crashed CRASHES_UNTIL_KNOWN upstreams, at most
# MAX_KNOWN_ARRIVALS of its arrivals may be later than STABLE_S after the last
# of these crashes.
CRASHES_UNTIL_KNOWN: Final = 3
MAX_KNOWN_ARRIVALS: Final = 3
# Statuses which guarantee that the request has not run and never will.
NOT_RUN: Final = frozenset({408, 421, 429, 503})


@dataclasses.dataclass(kw_only=True, slots=True)
class Attempt:
    """One request that a caller sent.

    Attributes:
        machine: Name of the VM whose daemon it was sent to.
        is_safe: Whether it may run more than once.
        sent_at: Monotonic time in seconds.
        ended_at: Monotonic time in seconds at which the caller saw the
            response or the end of the connection.
        status: Status of the response; None if there was none.
        problem: What is wrong with the response; empty if nothing is.
        crashes: Whether it crashes the upstreams that run it.
    """

    attempt_id: str
    machine: str
    route: str
    is_safe: bool
    key: str
    workspace: str
    caller_service: str
    sent_at: float
    ended_at: float = math.inf
    status: int | None = None
    problem: str = ''
    crashes: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """One execution of a request by an upstream, recorded at its start."""

    attempt_id: str
    service: str
    instance_id: str
    workspace: str
    caller_service: str
    has_key: bool
    at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Span:
    """Interval of a disturbance, in monotonic seconds."""

    start: float
    end: float


class Ledger:
    """All observations of a soak, and the checks to run on them after it."""

    def __init__(self) -> None:
        """Initialize an empty ledger."""
        self.attempts: dict[str, Attempt] = {}
        self.runs: dict[str, list[Run]] = collections.defaultdict(list)
        self.inner_calls: dict[str, str] = {}
        # Status of the response to each call of an upstream that got one.
        self.inner_statuses: dict[str, int] = {}
        # When the store accepted each version of the rules, and the service
        # that the moved route then had.
        self.moves: list[tuple[float, str]] = []
        self.withdrawn_at: dict[str, float] = {}
        self.left_at: dict[str, float] = {}
        self.disturbed: dict[str, list[Span]] = collections.defaultdict(list)
        self.started_at: dict[str, list[float]] = collections.defaultdict(list)
        self.rates: dict[str, tuple[float, float]] = {}
        self.failures: list[str] = []
        # Arrivals of requests that crash upstreams, by target: the time, and
        # the machine whose daemon the request was sent to.
        self.crashes: dict[str, list[tuple[float, str]]] = (
            collections.defaultdict(list)
        )
        # When the daemon of a machine was paused, partitioned or ended.
        # Requests that crash upstreams add nothing here.
        self.faulted: dict[str, list[Span]] = collections.defaultdict(list)

        # Evacuations of each failure domain, and the domain of each machine.
        self.evacuated: dict[str, list[Span]] = collections.defaultdict(list)
        self.domains: dict[str, str] = {}
        # When each upstream was cold, from when its daemon knew of it.
        self.cold: dict[str, list[Span]] = collections.defaultdict(list)

    def record_run(self, run: Run) -> None:
        """Record a run."""
        self.runs[run.attempt_id].append(run)

    def add_disturbance(self, subject: str, start: float, end: float) -> None:
        """Record that a fault affected a machine or the store."""
        self.disturbed[subject].append(Span(start=start, end=end))

    def is_undisturbed(self, subject: str, start: float, end: float) -> bool:
        """Return whether no fault overlaps an interval or precedes it closely.

        A fault that ended less than STABLE_S before the interval counts.
        """
        return not any(
            span.start <= end and span.end + STABLE_S >= start
            for span in self.disturbed[subject]
        )

    def check(self) -> list[str]:
        """Return a description of each violation."""
        problems = [*self.failures]
        for attempt in self.attempts.values():
            problems += self._check_attempt(attempt)
        for runs in self.runs.values():
            for run in runs:
                problems += self._check_run(run)
        problems += [
            f'{target} crashed {len(arrivals)} upstreams'
            for target, arrivals in self.crashes.items()
            if len(arrivals) > MAX_CRASHES
        ]
        problems += [
            f'{target} arrived {count} times after it was known'
            for target in self.crashes
            if (count := self.count_known_arrivals(target))
            > MAX_KNOWN_ARRIVALS
        ]
        problems += self._check_moves()
        problems += self._check_quota()
        problems += self._check_budget()
        problems += self._check_evacuations()
        problems += self._check_cold()
        return problems

    def record_crash(self, target: str, attempt_id: str) -> None:
        """Record the arrival of a request that crashes the upstream.

        Requests whose targets differ only in the query count as one.
        """
        target = target.partition('?')[0]
        attempt = self.attempts.get(attempt_id)
        # The id of a call by an upstream begins with its machine name.
        machine = (
            attempt_id.partition('.')[0]
            if attempt is None
            else attempt.machine
        )
        self.crashes[target].append((time.monotonic(), machine))

    def count_known_arrivals(self, target: str) -> int:
        """Return how often a request arrived after all daemons must refuse it.

        Arrivals do not count if the daemon they came through was paused,
        partitioned or ended within STABLE_S before them.
        """
        arrivals = sorted(self.crashes[target])
        if len(arrivals) <= CRASHES_UNTIL_KNOWN:
            return 0
        known_at = arrivals[CRASHES_UNTIL_KNOWN - 1][0] + STABLE_S
        return sum(
            at > known_at and self._is_reachable(machine, at)
            for at, machine in arrivals
        )

    def _is_reachable(self, machine: str, at: float) -> bool:
        return not any(
            span.start <= at <= span.end + STABLE_S
            for span in self.faulted[machine]
        )

    def _check_attempt(self, attempt: Attempt) -> list[str]:
        runs = self.runs.get(attempt.attempt_id, [])
        problems = []
        if attempt.problem:
            problems.append(f'wrong answer: {attempt.problem}: {attempt}')
        if not attempt.is_safe and len(runs) > 1:
            problems.append(f'ran more than once: {attempt}: {runs}')
        if attempt.status in NOT_RUN and runs:
            problems.append(f'ran though refused: {attempt}: {runs}')
        if (
            attempt.status is None
            and runs
            and attempt.ended_at < math.inf
            and self.is_undisturbed(
                attempt.machine, attempt.sent_at, attempt.ended_at
            )
        ):
            problems.append(f'closed without an answer: {attempt}')
        return problems

    def _check_run(self, run: Run) -> list[str]:
        attempt = self.attempts.get(run.attempt_id)
        if attempt is None:
            if run.attempt_id in self.inner_calls:
                return self._check_inner(run)
            return [f'no caller sent this: {run}']
        problems = []
        if run.has_key:
            problems.append(f'key seen by an upstream: {run}')
        if run.workspace != attempt.workspace:
            problems.append(f'wrong workspace: {run}: {attempt}')
        if run.caller_service != attempt.caller_service:
            problems.append(f'wrong caller service: {run}: {attempt}')
        if run.service not in self._find_allowed_services(attempt.route):
            problems.append(f'wrong service: {run}: {attempt}')
        withdrawn_at = self.withdrawn_at.get(attempt.key, math.inf)
        if attempt.sent_at > withdrawn_at + REVOKE_S:
            problems.append(f'withdrawn key was used: {run}: {attempt}')
        left_at = self.left_at.get(run.instance_id, math.inf)
        if run.at > left_at + DRAIN_S:
            problems.append(f'reached a leaving upstream: {run}: {attempt}')
        return problems

    def _check_inner(self, run: Run) -> list[str]:
        if run.has_key or run.workspace:
            return [f'key or workspace in a call of an upstream: {run}']
        if run.caller_service != self.inner_calls[run.attempt_id]:
            return [f'wrong caller service: {run}']
        if self.inner_statuses.get(run.attempt_id) in NOT_RUN:
            return [f'ran though refused: {run}']
        return []

    def _find_allowed_services(self, route: str) -> set[str]:
        if route == 'moved':
            return {service for _, service in self.moves}
        return {'deep' if route in ('book', 'peek') else 'front'}

    def _check_moves(self) -> list[str]:
        """Check that daemons apply new rules in time and never revert them."""
        problems = []
        # Newest version observed in each daemon process, and when; the key is
        # the machine and the number of its daemon starts.
        newest: dict[tuple[str, int], tuple[int, float]] = {}
        for run, attempt in self._list_moved_runs():
            starts = self.started_at[attempt.machine]
            process_key = (
                attempt.machine,
                bisect.bisect(starts, attempt.sent_at),
            )
            known, seen_at = newest.get(process_key, (0, math.inf))
            version = self._find_version(run, known)
            if version is None:
                if attempt.sent_at > seen_at + ROLLBACK_S:
                    problems.append(f'rules went back: {run}: {attempt}')
                continue
            if version > known:
                newest[process_key] = version, run.at
            if self._is_late(run, attempt):
                problems.append(f'old rules: {run}: {attempt}')
        return problems

    def _list_moved_runs(self) -> list[tuple[Run, Attempt]]:
        """Return runs on the moved route, ordered by time."""
        found = [
            (run, attempt)
            for attempt in self.attempts.values()
            if attempt.route == 'moved'
            for run in self.runs.get(attempt.attempt_id, [])
        ]
        return sorted(found, key=lambda item: item[0].at)

    def _find_version(self, run: Run, known: int) -> int | None:
        """Return the lowest version, not below known, that explains a run."""
        for version in range(known, len(self.moves)):
            written_at, service = self.moves[version]
            if service == run.service and written_at <= run.at:
                return version
        return None

    def _is_late(self, run: Run, attempt: Attempt) -> bool:
        """Return whether only outdated rules explain a run."""
        start = attempt.sent_at - APPLY_S
        if not (
            self.is_undisturbed(attempt.machine, start, run.at)
            and self.is_undisturbed('store', start, run.at)
        ):
            return False
        allowed = {
            service
            for index, (written_at, service) in enumerate(self.moves)
            if written_at <= run.at
            and (
                index + 1 == len(self.moves)
                or self.moves[index + 1][0] > start
            )
        }
        return run.service not in allowed

    def _check_quota(self) -> list[str]:
        problems = []
        for workspace, (rate, burst) in self.rates.items():
            times = sorted(
                run.at
                for attempt in self.attempts.values()
                if attempt.workspace == workspace
                for run in self.runs.get(attempt.attempt_id, [])[:1]
            )
            allowed = (rate * QUOTA_WINDOW_S + burst) * (
                1.0 + QUOTA_TOLERANCE
            ) + QUOTA_SLACK
            for index, at in enumerate(times):
                count = bisect.bisect(times, at + QUOTA_WINDOW_S) - index
                if count > allowed:
                    problems.append(
                        f'{count} of {workspace} in a window from {at:.2f}, '
                        f'allowed {allowed:.1f}'
                    )
                    break
        return problems

    def _check_evacuations(self) -> list[str]:
        """Check that upstreams of evacuated domains get no requests."""
        problems = []
        for runs in self.runs.values():
            for run in runs:
                # The id of an upstream begins with its machine name.
                machine = run.instance_id.partition('.')[0]
                problems += [
                    f'reached an evacuated domain: {run}'
                    for span in self.evacuated[self.domains.get(machine, '')]
                    if span.start + EVACUATE_S < run.at < span.end
                    and self.is_undisturbed(machine, span.start, run.at)
                    and self.is_undisturbed('store', span.start, run.at)
                ]
        return problems

    def _check_cold(self) -> list[str]:
        """Check the rate of requests at cold upstreams."""
        times: dict[str, list[float]] = collections.defaultdict(list)
        for runs in self.runs.values():
            for run in runs:
                if any(
                    span.start <= run.at <= span.end
                    for span in self.cold[run.instance_id]
                ):
                    times[run.instance_id].append(run.at)
        problems = []
        allowed = COLD_RATE_PER_S * COLD_EXCESS + COLD_SLACK
        for instance_id, found in times.items():
            found.sort()
            most = max(
                bisect.bisect(found, at + 1.0) - index
                for index, at in enumerate(found)
            )
            if most > allowed:
                problems.append(
                    f'{most} requests in a second at {instance_id}, cold'
                )
        return problems

    def _check_budget(self) -> list[str]:
        """Check that retries stay within the retry budget of each service."""
        first_arrivals: dict[str, list[float]] = collections.defaultdict(list)
        retries: dict[str, list[float]] = collections.defaultdict(list)
        for runs in self.runs.values():
            ordered = sorted(runs, key=lambda run: run.at)
            first_arrivals[ordered[0].service].append(ordered[0].at)
            for run in ordered[1:]:
                retries[run.service].append(run.at)
        problems = []
        for service, times in retries.items():
            times.sort()
            starts = sorted(first_arrivals[service])
            for index, at in enumerate(times):
                end = at + BUDGET_WINDOW_S
                count = bisect.bisect(times, end) - index
                requests = bisect.bisect(starts, end) - bisect.bisect(
                    starts, at - BUDGET_WINDOW_S
                )
                if count > BUDGET_RATIO * requests + BUDGET_SLACK:
                    problems.append(
                        f'{count} retries at {service} from {at:.2f}'
                    )
                    break
        return problems
