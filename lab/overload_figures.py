"""Figures of the overload experiment, computed from what a run recorded."""

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
RECOVERED: Final = 0.95
QUOTA_REASONS: Final = frozenset({'rate_exceeded', 'quota_unreachable'})
# A run whose callers fall further behind did not offer the planned load.
MAX_BEHIND_S: Final = 0.5
_WINDOW_S: Final = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Recording:
    """What one run recorded.

    Attributes:
        slowdown: Factor on the service time of the bottom in the surge.
        start_unix_s: When the warm-up began.
        seen: Requests by the service whose upstreams saw them.
        processors: Used cores in the surge, by process.
    """

    deployment: overload_plan.Deployment
    control: str
    seed: int
    slowdown: float
    start_unix_s: float
    originals: list[overload_plan.Original]
    seen: dict[str, list[dict[str, Any]]]
    processors: dict[str, float]
    machine_load: float
    counts: dict[str, int]
    samples: list[dict[str, Any]]


class Figures(msgspec.Struct, kw_only=True):
    """Figures of one run; shares are parts of 1.

    Attributes:
        goodput_of_capacity: In the surge, over the calls that could run.
        seen_of_capacity: Requests that reached the upstreams of a bottleneck
            in the surge over those that they could run. Above the goodput,
            runs were wasted; below 1, slots were idle or held too long.
        goodput_by_half_second: As goodput_of_capacity, from the start of the
            warm-up.
        prompt_goodput_of_capacity: As goodput_of_capacity, but the timeout
            counts from the first attempt, so that an answer to a later one
            may be late.
        answered_by_half_second: Part of the calls first sent in the half
            second that were answered within the timeout from then on.
        recovery_s: From the end of the surge until at least 0.95 of the
            calls sent in each later half second is answered so.
        worst_fair_share: Answers of the worst-served workspace in the surge
            over its fair share.
        wrongful_refusals_per_1000: Attempts refused for quota reasons; all
            callers stay within their rates.
        extra_at_bottom: Runs at the bottom above one per original call.
        admitted_of_limit: Largest part of burst + rate x T that was used.
        doubled: Non-idempotent requests that a service saw twice.
        repeated_idempotent: Idempotent requests that a service saw twice.
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


def compute(recording: Recording) -> Figures:
    """Return the figures of a run."""
    originals = recording.originals
    surge = [item for item in originals if _in_surge(item.sent_s)]
    shares = _fair_shares(recording, surge)
    worst = min(shares, key=lambda name: shares[name])
    capacities = _capacities(recording)
    answered = _answered_by_bin(originals)
    latencies = sorted(
        item.answered_s - item.sent_s
        for item in surge
        if item.answered_s is not None and item.is_good
    )
    callers = {
        name: value
        for name, value in recording.processors.items()
        if name.startswith('caller')
    }
    fleet_use = {
        name: value
        for name, value in recording.processors.items()
        if name not in callers
    }
    busiest = max(fleet_use, key=lambda name: fleet_use[name])
    attempts = [one for item in originals for one in item.attempts]
    refused = sum(reason in QUOTA_REASONS for _, _, _, reason in attempts)
    doubled, repeated = _repeats(recording)
    return Figures(
        deployment=recording.deployment.name,
        control=recording.control,
        seed=recording.seed,
        slowdown=recording.slowdown,
        originals=len(originals),
        attempts=len(attempts),
        goodput_of_capacity=_goodput(originals, lambda _: True)
        / sum(capacities.values()),
        prompt_goodput_of_capacity=_goodput(
            originals, lambda item: item.is_prompt
        )
        / sum(capacities.values()),
        goodput_by_bottleneck={
            name: _goodput(originals, _is_of(name)) / capacities[name]
            for name in capacities
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
        extra_at_bottom=_extra_at_bottom(recording),
        admitted_of_limit=_admitted_of_limit(originals),
        doubled=doubled,
        repeated_idempotent=repeated,
        keys_seen_upstream=_keys_seen(recording),
        latency_p50_s=_percentile(latencies, 0.5),
        latency_p99_s=_percentile(latencies, 0.99),
        callers_behind_s=max(item.late_start_s for item in originals),
        ends_in_surge=_ends(surge),
        busiest_process=busiest,
        busiest_cores=fleet_use[busiest],
        busiest_caller_cores=max(callers.values()),
        used_cores=sum(recording.processors.values()),
        machine_load=recording.machine_load,
        counts=recording.counts,
        samples=recording.samples,
    )


def is_disturbed(figures: Figures) -> bool:
    """Return whether the machine was too busy for the planned load."""
    return figures.callers_behind_s > MAX_BEHIND_S


def misses(figures: Figures) -> list[str]:
    """Return the targets of section 1 that a run missed."""
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
    answered = [figures.answered_by_class[name] for name in _CLASSES]
    if any(upper < lower for upper, lower in zip(answered, answered[1:])):
        result.append('a less important class was served better')
    if figures.doubled:
        result.append(f'{figures.doubled} requests doubled')
    if figures.keys_seen_upstream:
        result.append('an upstream saw a key')
    return result


_CLASSES = overload_plan.CLASSES
_SURGE_END_S = overload_plan.WARM_UP_S + overload_plan.SURGE_S


def _in_surge(moment_s: float) -> bool:
    return overload_plan.WARM_UP_S <= moment_s < _SURGE_END_S


def _is_of(bottleneck: str) -> Callable[[overload_plan.Original], bool]:
    def is_of(item: overload_plan.Original) -> bool:
        return (item.kind == 'side') == (bottleneck == 'side')

    return is_of


def _capacities(recording: Recording) -> dict[str, float]:
    """Return the calls per second in the surge, by bottleneck."""
    deployment = recording.deployment
    return {
        'chain': deployment.bottom.capacity / recording.slowdown,
        'side': deployment.side.capacity,
    }


def _goodput(
    originals: Iterable[overload_plan.Original],
    matches: Callable[[overload_plan.Original], bool],
) -> float:
    """Return the answers in time per second that came in the surge."""
    count = sum(
        item.is_good and matches(item) and _in_surge(item.answered_s or 0.0)
        for item in originals
    )
    return count / overload_plan.SURGE_S


def _seen_of_capacity(recording: Recording) -> dict[str, float]:
    services = {
        'chain': recording.deployment.bottom.name,
        'side': recording.deployment.side.name,
    }
    capacities = _capacities(recording)
    return {
        name: sum(
            _in_surge(item['at'] - recording.start_unix_s)
            for item in recording.seen[service]
        )
        / (capacities[name] * overload_plan.SURGE_S)
        for name, service in services.items()
    }


def _bins() -> int:
    return int(overload_plan.total_s() / BIN_S)


def _goodput_by_bin(recording: Recording) -> list[float]:
    capacity = sum(_capacities(recording).values())
    bins = [0] * _bins()
    for item in recording.originals:
        if item.answered_s is None or not item.is_good:
            continue
        position = int(item.answered_s / BIN_S)
        if position < len(bins):
            bins[position] += 1
    return [count / BIN_S / capacity for count in bins]


def _answered_by_bin(
    originals: Iterable[overload_plan.Original],
) -> list[float]:
    sent = [0] * _bins()
    good = [0] * _bins()
    for item in originals:
        position = int(item.sent_s / BIN_S)
        sent[position] += 1
        good[position] += item.is_prompt
    return [
        good_count / max(1, count)
        for good_count, count in zip(good, sent, strict=True)
    ]


def _recovery_s(answered: list[float]) -> float | None:
    first = int(_SURGE_END_S / BIN_S)
    for position in range(first, len(answered)):
        if min(answered[position:]) >= RECOVERED:
            return (position - first) * BIN_S
    return None


def fill(
    capacity: float, demands: dict[str, float], weights: dict[str, float]
) -> dict[str, float]:
    """Return the weighted max-min fair division of a capacity.

    Source: Bertsekas and Gallager, "Data Networks", section 6.5.2.
    """
    result = dict.fromkeys(demands, 0.0)
    open_names = {name for name, demand in demands.items() if demand > 0}
    left = capacity
    while open_names and left > 1e-9:
        unit = left / sum(weights[name] for name in open_names)
        step = min(
            unit,
            min(
                (demands[name] - result[name]) / weights[name]
                for name in open_names
            ),
        )
        for name in list(open_names):
            result[name] += step * weights[name]
            left -= step * weights[name]
            if result[name] >= demands[name] - 1e-9:
                open_names.remove(name)
    return result


def _fair_shares(
    recording: Recording, surge: list[overload_plan.Original]
) -> dict[str, float]:
    """Return answers over the fair share, by workspace.

    Classes are filled in order of importance; within a class the rest of the
    capacity is divided by weight. The capacity that counts is that which was
    in fact used, so that a loss of goodput is not counted here again.
    """
    weights = {name: weight for name, _, weight in overload_plan.WORKSPACES}
    fair = dict.fromkeys(weights, 0.0)
    got = dict.fromkeys(weights, 0)
    for bottleneck in ('chain', 'side'):
        calls = [item for item in surge if _is_of(bottleneck)(item)]
        left = float(sum(item.is_good for item in calls))
        for name in _CLASSES:
            demands = dict.fromkeys(weights, 0.0)
            for item in calls:
                if item.importance == name:
                    demands[item.workspace] += 1
            parts = fill(left, demands, weights)
            left -= sum(parts.values())
            for workspace, part in parts.items():
                fair[workspace] += part
        for item in calls:
            got[item.workspace] += item.is_good
    return {name: got[name] / max(1.0, fair[name]) for name in weights}


def _answered_by_class(
    surge: list[overload_plan.Original],
) -> dict[str, float]:
    result = {}
    for name in _CLASSES:
        calls = [item for item in surge if item.importance == name]
        good = sum(item.is_good for item in calls)
        result[name] = good / max(1, len(calls))
    return result


def _ends(
    surge: list[overload_plan.Original],
) -> dict[str, dict[str, int]]:
    """Return the ends of attempts by class."""
    result = {}
    for name in _CLASSES:
        ends = collections.Counter(
            reason or 'answered'
            for item in surge
            if item.importance == name
            for _, _, _, reason in item.attempts
        )
        result[name] = dict(ends.most_common())
    return result


def _admitted_of_limit(originals: list[overload_plan.Original]) -> float:
    """Return the largest used part of what a limit allows.

    Attempts that were not refused for quota reasons count as admitted, in
    windows of 1 s and over the whole run.
    """
    admitted: dict[tuple[str, str], list[float]] = {}
    for item in originals:
        for sent_s, _, _, reason in item.attempts:
            if reason not in QUOTA_REASONS:
                admitted.setdefault((item.kind, item.workspace), []).append(
                    sent_s
                )
    largest = 0.0
    for (_, workspace), moments in admitted.items():
        share = next(
            share
            for name, share, _ in overload_plan.WORKSPACES
            if name == workspace
        )
        rate = overload_plan.rate_of(share)
        windows = collections.Counter(int(at / _WINDOW_S) for at in moments)
        in_window = max(windows.values()) / (rate + rate * _WINDOW_S)
        total = len(moments) / (rate + rate * overload_plan.total_s())
        largest = max(largest, in_window, total)
    return largest


def _call_id(seen: dict[str, Any]) -> str:
    query = urllib.parse.urlsplit(seen['target']).query
    return dict(urllib.parse.parse_qsl(query)).get('id', '')


def _repeats(recording: Recording) -> tuple[int, int]:
    """Return repeated runs of non-idempotent and idempotent requests."""
    doubled = repeated = 0
    for requests in recording.seen.values():
        ids = collections.Counter(
            (_call_id(item), item['method']) for item in requests
        )
        for (_, method), count in ids.items():
            if method == 'POST':
                doubled += count - 1
            else:
                repeated += count - 1
    return doubled, repeated


def _extra_at_bottom(recording: Recording) -> float:
    """Return extra runs at the bottom per original call in the surge."""
    requests = recording.seen[recording.deployment.bottom.name]
    runs: collections.Counter[str] = collections.Counter()
    for item in requests:
        if _in_surge(item['at'] - recording.start_unix_s):
            original, _, _ = _call_id(item).partition('.')
            runs[original] += 1
    return sum(runs.values()) / max(1, len(runs)) - 1.0


def _keys_seen(recording: Recording) -> int:
    keys = [overload_plan.key(name) for name, _, _ in overload_plan.WORKSPACES]
    return sum(
        any(
            name.lower() == 'authorization'
            or any(key in value for key in keys)
            for name, value in item['headers']
        )
        for requests in recording.seen.values()
        for item in requests
    )


def _percentile(ordered: list[float], part: float) -> float:
    if not ordered:
        return math.nan
    if len(ordered) == 1:
        return ordered[0]
    if part == 0.5:
        return statistics.median(ordered)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]
