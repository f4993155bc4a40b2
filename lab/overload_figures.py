"""Figures of the overload experiment, computed from its measurements."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math
import statistics
from typing import Any, Final
import urllib.parse

import msgspec

from lab import overload_plan

BIN_S: Final = 0.5
RECOVERED_FRACTION: Final = 0.95
QUOTA_REASONS: Final = frozenset({'rate_exceeded', 'quota_unreachable'})
# A run whose callers send later than this did not offer the planned load.
MAX_CALLER_DELAY_S: Final = 0.5
_LIMIT_WINDOW_S: Final = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Recording:
    """Measurements of one run.

    Attributes:
        slowdown: Factor on the service time of the deepest service in the
            surge.
        start_unix_s: Start of the warm-up.
        requests_by_service: Requests that the upstreams of a service
            received.
        cores_by_process: CPU cores used in the surge.
        machine_load: Load average over 1 min at the end of the surge.
        counts: Counters of the daemons, summed over all of them.
        samples: Admission status of the bottleneck daemons.
    """

    deployment: overload_plan.Deployment
    control: str
    seed: int
    slowdown: float
    start_unix_s: float
    originals: list[overload_plan.OriginalCall]
    requests_by_service: dict[str, list[dict[str, Any]]]
    cores_by_process: dict[str, float]
    machine_load: float
    counts: dict[str, int]
    samples: list[dict[str, Any]]


class Figures(msgspec.Struct, kw_only=True):
    """Figures of one run; shares are fractions of 1.

    Attributes:
        goodput_of_capacity: Successful calls in the surge over the calls
            that the capacity allows.
        seen_of_capacity: Requests that reached the upstreams of a bottleneck
            in the surge, over those that the capacity allows. Above the
            goodput, runs were wasted; below 1, slots were idle or held too
            long.
        goodput_by_half_second: As goodput_of_capacity, from the start of the
            warm-up.
        prompt_goodput_of_capacity: As goodput_of_capacity, but the timeout
            counts from the first attempt, so that a retry may succeed too
            late to count.
        answered_by_half_second: Fraction of the calls first sent in each half
            second that succeeded within the timeout from the first attempt.
        recovery_s: From the end of the surge until at least 0.95 of the
            calls first sent in each later half second succeed that way; None
            if that is not reached.
        worst_fair_share: Successful calls of the worst-served workspace in
            the surge over its fair share.
        wrongful_refusals_per_1000: Attempts refused by the quota, which are
            wrong because all callers stay within their rates.
        extra_at_bottom: Runs at the deepest service beyond one per original
            call.
        admitted_of_limit: Largest used fraction of burst + rate x T, the most
            that a rate limit allows in T seconds.
        doubled: Runs beyond the first of a non-idempotent request at the
            same service.
        repeated_idempotent: Runs beyond the first of an idempotent request
            at the same service.
        keys_seen_upstream: Requests that reached an upstream with an API key
            or an Authorization header.
        callers_behind_s: Longest delay of a first attempt behind its planned
            time.
        ends_in_surge: Outcomes of attempts of calls first sent in the surge,
            by importance class.
        busiest_process: Daemon or upstream that used most CPU in the surge.
    """

    deployment: str
    control: str
    seed: int
    slowdown: float
    originals: int
    attempts: int
    goodput_of_capacity: float
    prompt_goodput_of_capacity: float
    goodput_by_bottleneck: dict[str, float]
    seen_of_capacity: dict[str, float]
    goodput_by_half_second: list[float]
    answered_by_half_second: list[float]
    recovery_s: float | None
    worst_fair_share: float
    worst_workspace: str
    fair_share_by_workspace: dict[str, float]
    answered_by_class: dict[str, float]
    wrongful_refusals_per_1000: float
    extra_at_bottom: float
    admitted_of_limit: float
    doubled: int
    repeated_idempotent: int
    keys_seen_upstream: int
    latency_p50_s: float
    latency_p99_s: float
    callers_behind_s: float
    ends_in_surge: dict[str, dict[str, int]]
    busiest_process: str
    busiest_cores: float
    busiest_caller_cores: float
    used_cores: float
    machine_load: float
    counts: dict[str, int]
    samples: list[dict[str, Any]]


def compute_figures(recording: Recording) -> Figures:
    """Compute the figures of a run."""
    originals = recording.originals
    surge = [call for call in originals if _is_in_surge(call.sent_s)]
    shares = _fair_shares(recording, surge)
    worst = min(shares, key=lambda name: shares[name])
    capacities_per_s = _capacities_per_s(recording)
    answered = _answered_by_bin(originals)
    latencies = sorted(
        call.answered_s - call.sent_s
        for call in surge
        if call.answered_s is not None and call.is_answered
    )
    cores_of_callers = {
        name: value
        for name, value in recording.cores_by_process.items()
        if name.startswith('caller')
    }
    cores_of_fleet = {
        name: value
        for name, value in recording.cores_by_process.items()
        if name not in cores_of_callers
    }
    busiest = max(cores_of_fleet, key=lambda name: cores_of_fleet[name])
    attempts = [attempt for call in originals for attempt in call.attempts]
    refused = sum(reason in QUOTA_REASONS for _, _, _, reason in attempts)
    doubled, repeated = _count_repeats(recording)
    return Figures(
        deployment=recording.deployment.name,
        control=recording.control,
        seed=recording.seed,
        slowdown=recording.slowdown,
        originals=len(originals),
        attempts=len(attempts),
        goodput_of_capacity=_goodput_per_s(originals, lambda _: True)
        / sum(capacities_per_s.values()),
        prompt_goodput_of_capacity=_goodput_per_s(
            originals, lambda call: call.is_prompt
        )
        / sum(capacities_per_s.values()),
        goodput_by_bottleneck={
            name: _goodput_per_s(originals, _uses_bottleneck(name))
            / capacities_per_s[name]
            for name in capacities_per_s
        },
        seen_of_capacity=_seen_of_capacity(recording),
        goodput_by_half_second=_goodput_by_bin(recording),
        answered_by_half_second=answered,
        recovery_s=_recovery_s(answered),
        worst_fair_share=shares[worst],
        worst_workspace=worst,
        fair_share_by_workspace=shares,
        answered_by_class=_answered_by_class(surge),
        wrongful_refusals_per_1000=1000 * refused / max(1, len(attempts)),
        extra_at_bottom=_extra_runs_at_deepest(recording),
        admitted_of_limit=_admitted_of_limit(originals),
        doubled=doubled,
        repeated_idempotent=repeated,
        keys_seen_upstream=_count_keys_seen(recording),
        latency_p50_s=_percentile(latencies, 0.5),
        latency_p99_s=_percentile(latencies, 0.99),
        callers_behind_s=max(call.late_start_s for call in originals),
        ends_in_surge=_count_attempt_ends(surge),
        busiest_process=busiest,
        busiest_cores=cores_of_fleet[busiest],
        busiest_caller_cores=max(cores_of_callers.values()),
        used_cores=sum(recording.cores_by_process.values()),
        machine_load=recording.machine_load,
        counts=recording.counts,
        samples=recording.samples,
    )


def is_disturbed(figures: Figures) -> bool:
    """Return whether the machine was too busy for the planned load."""
    return figures.callers_behind_s > MAX_CALLER_DELAY_S


def missed_targets(figures: Figures) -> list[str]:
    """Return which targets of docs/design.md, section 1, a run missed."""
    result = []
    if figures.goodput_of_capacity < 0.95:
        result.append(f'goodput {figures.goodput_of_capacity:.3f} < 0.95')
    if figures.recovery_s is None:
        result.append('not recovered')
    elif figures.recovery_s > 2.0:
        result.append(f'recovery {figures.recovery_s:.1f} s > 2 s')
    if figures.worst_fair_share < 0.9:
        result.append(f'worst share {figures.worst_fair_share:.3f} < 0.9')
    if figures.wrongful_refusals_per_1000 > 1.0:
        result.append(
            f'wrongful {figures.wrongful_refusals_per_1000:.2f} > 1 in 1,000'
        )
    if figures.admitted_of_limit > 1.0:
        result.append('admissions above rate and burst')
    answered = [
        figures.answered_by_class[name] for name in _IMPORTANCE_CLASSES
    ]
    if any(upper < lower for upper, lower in zip(answered, answered[1:])):
        result.append('a less important class was served better')
    if figures.doubled:
        result.append(f'{figures.doubled} requests doubled')
    if figures.keys_seen_upstream:
        result.append('an upstream saw a key')
    return result


_IMPORTANCE_CLASSES = overload_plan.IMPORTANCE_CLASSES
_SURGE_END_S = overload_plan.WARM_UP_S + overload_plan.SURGE_S


def _is_in_surge(time_s: float) -> bool:
    return overload_plan.WARM_UP_S <= time_s < _SURGE_END_S


def _uses_bottleneck(
    bottleneck: str,
) -> Callable[[overload_plan.OriginalCall], bool]:
    def uses_bottleneck(call: overload_plan.OriginalCall) -> bool:
        return (call.kind == 'side') == (bottleneck == 'side')

    return uses_bottleneck


def _capacities_per_s(recording: Recording) -> dict[str, float]:
    """Return the calls per second possible in the surge, by bottleneck."""
    deployment = recording.deployment
    return {
        'chain': deployment.deepest.capacity_per_s / recording.slowdown,
        'side': deployment.side.capacity_per_s,
    }


def _goodput_per_s(
    originals: Iterable[overload_plan.OriginalCall],
    matches: Callable[[overload_plan.OriginalCall], bool],
) -> float:
    """Return the successful calls per second that ended in the surge."""
    count = sum(
        call.is_answered
        and matches(call)
        and _is_in_surge(call.answered_s or 0.0)
        for call in originals
    )
    return count / overload_plan.SURGE_S


def _seen_of_capacity(recording: Recording) -> dict[str, float]:
    services = {
        'chain': recording.deployment.deepest.name,
        'side': recording.deployment.side.name,
    }
    capacities_per_s = _capacities_per_s(recording)
    return {
        name: sum(
            _is_in_surge(request['at'] - recording.start_unix_s)
            for request in recording.requests_by_service[service]
        )
        / (capacities_per_s[name] * overload_plan.SURGE_S)
        for name, service in services.items()
    }


def _bin_count() -> int:
    return int(overload_plan.total_duration_s() / BIN_S)


def _goodput_by_bin(recording: Recording) -> list[float]:
    capacity = sum(_capacities_per_s(recording).values())
    bins = [0] * _bin_count()
    for call in recording.originals:
        if call.answered_s is None or not call.is_answered:
            continue
        position = int(call.answered_s / BIN_S)
        if position < len(bins):
            bins[position] += 1
    return [count / BIN_S / capacity for count in bins]


def _answered_by_bin(
    originals: Iterable[overload_plan.OriginalCall],
) -> list[float]:
    sent = [0] * _bin_count()
    good = [0] * _bin_count()
    for call in originals:
        position = int(call.sent_s / BIN_S)
        sent[position] += 1
        good[position] += call.is_prompt
    return [
        good_count / max(1, count)
        for good_count, count in zip(good, sent, strict=True)
    ]


def _recovery_s(answered: list[float]) -> float | None:
    first = int(_SURGE_END_S / BIN_S)
    for position in range(first, len(answered)):
        if min(answered[position:]) >= RECOVERED_FRACTION:
            return (position - first) * BIN_S
    return None


def divide_max_min(
    capacity: float, demands: dict[str, float], weights: dict[str, float]
) -> dict[str, float]:
    """Divide a capacity by weighted max-min fairness.

    Source: Bertsekas and Gallager, "Data Networks", section 6.5.2.
    """
    result = dict.fromkeys(demands, 0.0)
    unsatisfied = {name for name, demand in demands.items() if demand > 0}
    remaining = capacity
    while unsatisfied and remaining > 1e-9:
        unit = remaining / sum(weights[name] for name in unsatisfied)
        step = min(
            unit,
            min(
                (demands[name] - result[name]) / weights[name]
                for name in unsatisfied
            ),
        )
        for name in list(unsatisfied):
            result[name] += step * weights[name]
            remaining -= step * weights[name]
            if result[name] >= demands[name] - 1e-9:
                unsatisfied.remove(name)
    return result


def _fair_shares(
    recording: Recording, surge: list[overload_plan.OriginalCall]
) -> dict[str, float]:
    """Return successful calls over the fair share, by workspace.

    Capacity goes to the classes in order of importance; within a class, the
    remaining capacity is divided by weight. Only the capacity that was used is
    divided, so that lost goodput is not counted a second time here.
    """
    weights = {name: weight for name, _, weight in overload_plan.WORKSPACES}
    fair = dict.fromkeys(weights, 0.0)
    received = dict.fromkeys(weights, 0)
    for bottleneck in ('chain', 'side'):
        calls = [call for call in surge if _uses_bottleneck(bottleneck)(call)]
        remaining = float(sum(call.is_answered for call in calls))
        for name in _IMPORTANCE_CLASSES:
            demands = dict.fromkeys(weights, 0.0)
            for call in calls:
                if call.importance == name:
                    demands[call.workspace] += 1
            allocated = divide_max_min(remaining, demands, weights)
            remaining -= sum(allocated.values())
            for workspace, amount in allocated.items():
                fair[workspace] += amount
        for call in calls:
            received[call.workspace] += call.is_answered
    return {name: received[name] / max(1.0, fair[name]) for name in weights}


def _answered_by_class(
    surge: list[overload_plan.OriginalCall],
) -> dict[str, float]:
    result = {}
    for name in _IMPORTANCE_CLASSES:
        calls = [call for call in surge if call.importance == name]
        good = sum(call.is_answered for call in calls)
        result[name] = good / max(1, len(calls))
    return result


def _count_attempt_ends(
    surge: list[overload_plan.OriginalCall],
) -> dict[str, dict[str, int]]:
    """Count the outcomes of attempts by importance class."""
    result = {}
    for name in _IMPORTANCE_CLASSES:
        ends = collections.Counter(
            reason or 'answered'
            for call in surge
            if call.importance == name
            for _, _, _, reason in call.attempts
        )
        result[name] = dict(ends.most_common())
    return result


def _admitted_of_limit(originals: list[overload_plan.OriginalCall]) -> float:
    """Return the largest used fraction of what a rate limit allows.

    Attempts that the quota did not refuse count as admitted. They are compared
    with the limit in windows of 1 s and over the whole run.
    """
    admitted: dict[tuple[str, str], list[float]] = {}
    for call in originals:
        for sent_s, _, _, reason in call.attempts:
            if reason not in QUOTA_REASONS:
                admitted.setdefault((call.kind, call.workspace), []).append(
                    sent_s
                )
    largest = 0.0
    for (_, workspace), sent_times_s in admitted.items():
        share = next(
            share
            for name, share, _ in overload_plan.WORKSPACES
            if name == workspace
        )
        rate = overload_plan.rate_limit_per_s(share)
        windows = collections.Counter(
            int(at / _LIMIT_WINDOW_S) for at in sent_times_s
        )
        in_window = max(windows.values()) / (rate + rate * _LIMIT_WINDOW_S)
        total = len(sent_times_s) / (
            rate + rate * overload_plan.total_duration_s()
        )
        largest = max(largest, in_window, total)
    return largest


def _call_id(request: dict[str, Any]) -> str:
    query = urllib.parse.urlsplit(request['target']).query
    return dict(urllib.parse.parse_qsl(query)).get('id', '')


def _count_repeats(recording: Recording) -> tuple[int, int]:
    """Count repeated runs of non-idempotent and idempotent requests."""
    doubled = repeated = 0
    for requests in recording.requests_by_service.values():
        ids = collections.Counter(
            (_call_id(request), request['method']) for request in requests
        )
        for (_, method), count in ids.items():
            if method == 'POST':
                doubled += count - 1
            else:
                repeated += count - 1
    return doubled, repeated


def _extra_runs_at_deepest(recording: Recording) -> float:
    """Return the extra runs at the deepest service per call in the surge."""
    requests = recording.requests_by_service[recording.deployment.deepest.name]
    runs: collections.Counter[str] = collections.Counter()
    for request in requests:
        if _is_in_surge(request['at'] - recording.start_unix_s):
            original, _, _ = _call_id(request).partition('.')
            runs[original] += 1
    return sum(runs.values()) / max(1, len(runs)) - 1.0


def _count_keys_seen(recording: Recording) -> int:
    keys = [
        overload_plan.api_key(name) for name, _, _ in overload_plan.WORKSPACES
    ]
    return sum(
        any(
            name.lower() == 'authorization'
            or any(key in value for key in keys)
            for name, value in request['headers']
        )
        for requests in recording.requests_by_service.values()
        for request in requests
    )


def _percentile(sorted_values: list[float], fraction: float) -> float:
    if not sorted_values:
        return math.nan
    if len(sorted_values) == 1:
        return sorted_values[0]
    if fraction == 0.5:
        return statistics.median(sorted_values)
    return sorted_values[
        min(len(sorted_values) - 1, int(fraction * len(sorted_values)))
    ]
