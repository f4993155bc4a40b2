"""Load balancing of calls over the upstreams of a service."""

import dataclasses
import random as random_module
from typing import NamedTuple, Protocol, Sequence

from sassafraswood import clock as clock_module
from sassafraswood import const
from sassafraswood.models import call
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import messages
from sassafraswood.models import records
from sassafraswood.state import hints

_UNKNOWN_LOAD = hints.PeerLoad()

# Reasons for which the next call to the same daemon would fail as well: this
# daemon cannot reach the other one, or that one cannot reach its upstream.
_DAEMON_UNREACHABLE = frozenset(
    {
        enums.RefusalReason.PEER_UNREACHABLE,
        enums.RefusalReason.PEER_SILENT,
    }
)
_UPSTREAM_UNREACHABLE = frozenset(
    {
        enums.RefusalReason.UPSTREAM_UNREACHABLE,
        enums.RefusalReason.NO_UPSTREAM,
        enums.RefusalReason.DRAINING,
    }
)

# Reasons for which this daemon ends a call by itself; they show nothing about
# whether the peer is reachable.
_ENDED_LOCALLY = frozenset(
    {
        enums.RefusalReason.CANCELLED,
        enums.RefusalReason.DEADLINE_EXCEEDED,
    }
)


class MemberLookup(Protocol):
    """Read access to the membership table."""

    def members(
        self, service: ids.ServiceName | None = None
    ) -> list[records.Member]:
        """Return the members of a service, or all members for None."""

    def get(self, daemon_id: ids.DaemonId) -> records.Member | None:
        """Return a member, or None if it is unknown."""

    def is_silent(self, daemon_id: ids.DaemonId) -> bool:
        """Return whether a peer has stopped replying."""


class _Candidate(NamedTuple):
    """An upstream that is eligible for the call.

    Attributes:
        member: The daemon beside the upstream.
        load: What this daemon has measured about that daemon.
        hint: The last admission hint, or None if it has expired.
        limit: Concurrency limit, from the hint or else from the announced
            slots.
    """

    member: records.Member
    load: hints.PeerLoad
    hint: messages.AdmissionHint | None
    limit: int


@dataclasses.dataclass(kw_only=True)
class _RemoteOverflow:
    """Overflow of a service into other failure domains.

    Attributes:
        share: Fraction of the calls that may leave the own domain, 0 to 1.
        changed_at: Monotonic time of the last adjustment, in seconds.
    """

    share: float = 0.0
    changed_at: float = 0.0


class Router:
    """Power-of-two-choices balancing that prefers the own failure domain.

    See M. Mitzenmacher, "The Power of Two Choices in Randomized Load
    Balancing", IEEE TPDS 12(10), 2001. Both candidates are drawn with a
    probability in proportion to their concurrency limits, so that a cold
    upstream gets only its part of the calls.

    A hint is used for HINT_LIFETIME_S. Its limit is capped at the announced
    slots and its load at twice the limit, and the calls that this daemon has
    in flight are added to it. A wrong hint therefore shifts a bounded part
    of the calls, and for HINT_LIFETIME_S at most.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        random: random_module.Random,
        own_domain: ids.FailureDomain,
        membership: MemberLookup,
        own_region: str | None = None,
    ) -> None:
        """Initialize the router.

        Args:
            clock: Source of monotonic time.
            random: Random source of the choices and of the backoff jitter.
            own_domain: Failure domain of this daemon.
            membership: Known members of the fleet.
            own_region: Region of this daemon. OTHER_REGION_PENALTY is added to
                the load of upstreams in other regions; None treats all
                regions alike.
        """
        self._clock = clock
        self._random = random
        self._own_domain = own_domain
        self._membership = membership
        self._own_region = own_region
        self._loads = hints.HintTable()
        self._overflows: dict[ids.ServiceName, _RemoteOverflow] = {}
        self._purge_at = clock.monotonic() + const.ROUTING_PURGE_S

    def choose(
        self,
        service: ids.ServiceName,
        importance: enums.Importance,
        exclude: frozenset[ids.DaemonId],
    ) -> ids.DaemonId | call.Refusal:
        """Return the daemon for a call, or a refusal with outcome NOT_RUN.

        Args:
            service: The callee.
            importance: Importance of the call.
            exclude: Daemons that got an earlier attempt of the call.
        """
        now = self._clock.monotonic()
        self._purge_unknown(now)
        members = self._membership.members(service)
        candidates = self._find_candidates(members, exclude, now)
        if not candidates:
            return self._refuse_unavailable(members, exclude, now)
        admitting = [
            item
            for item in candidates
            if item.hint is None or item.hint.lowest_importance <= importance
        ]
        if admitting:
            return self._pick_by_domain(
                service, admitting, now
            ).member.daemon_id
        if self._random.random() < const.PROBE_FRACTION:
            return self._pick_less_loaded(candidates).member.daemon_id
        return self._refuse_overloaded()

    def note_sent(self, daemon_id: ids.DaemonId) -> None:
        """Count a call to a daemon as in flight; in backoff it is a probe."""
        load = self._loads.get(daemon_id)
        load.in_flight += 1
        if load.failures > 0:
            # This call is the probe. No other call is sent until it ends or
            # PEER_TIMEOUT_S have passed.
            load.is_probed = True
            load.avoid_until = self._clock.monotonic() + const.PEER_TIMEOUT_S

    def note_result(
        self,
        daemon_id: ids.DaemonId,
        result: call.Result | None,
        hint: messages.AdmissionHint | None,
    ) -> None:
        """Count a call as ended and update the backoff of the daemon.

        Args:
            daemon_id: The daemon that the call was sent to.
            result: Result of the call; None if the peer stopped replying.
            hint: Admission hint that came with the result, if any.
        """
        load = self._loads.get(daemon_id)
        load.in_flight = max(0, load.in_flight - 1)
        if _has_reason(result, _UPSTREAM_UNREACHABLE):
            self._record_failure(load)
            load.needs_probe_call = True
        elif result is None or _has_reason(result, _DAEMON_UNREACHABLE):
            self._record_failure(load)
        elif not _has_reason(result, _ENDED_LOCALLY):
            _record_success(load)
        if hint is not None:
            self._store_hint(load, hint)

    def note_hint(
        self, daemon_id: ids.DaemonId, hint: messages.AdmissionHint
    ) -> None:
        """Store the hint of a Pong, which also shows that the peer replies."""
        load = self._loads.get(daemon_id)
        self._store_hint(load, hint)
        if not load.needs_probe_call and _can_serve(hint.upstream_status):
            _record_success(load)

    def take_due_probes(self) -> list[ids.DaemonId]:
        """Return the daemons in backoff that are due for a Ping.

        To be called every 100 ms; each daemon is returned once per backoff
        period and gets the Ping on a new connection. A call to a silent peer
        could end with an unknown outcome while a Ping has no side effect, so
        peers that the membership marks as silent are probed by Ping only.
        """
        now = self._clock.monotonic()
        due = []
        for daemon_id, load in self._loads.items():
            is_silent = self._membership.is_silent(daemon_id)
            if is_silent and load.failures == 0:
                self._record_failure(load)
            if load.failures == 0 or (load.needs_probe_call and not is_silent):
                continue
            if now >= load.avoid_until:
                due.append(daemon_id)
                self._extend_backoff(load)
        return due

    def _find_candidates(
        self,
        members: Sequence[records.Member],
        exclude: frozenset[ids.DaemonId],
        now: float,
    ) -> list[_Candidate]:
        candidates = []
        for member in members:
            daemon_id = member.daemon_id
            if daemon_id in exclude or not _is_serving(member):
                continue
            if self._membership.is_silent(daemon_id):
                continue
            load = self._loads.find(daemon_id) or _UNKNOWN_LOAD
            if load.failures > 0 and now < load.avoid_until:
                continue
            hint = load.hint
            if now - load.hint_at >= const.HINT_LIFETIME_S:
                hint = None
            if hint is not None and not _can_serve(hint.upstream_status):
                continue
            limit = _find_limit(member, hint)
            candidates.append(_Candidate(member, load, hint, limit))
        return candidates

    def _pick_by_domain(
        self,
        service: ids.ServiceName,
        candidates: Sequence[_Candidate],
        now: float,
    ) -> _Candidate:
        local = [item for item in candidates if self._is_local(item)]
        if not local or len(local) == len(candidates):
            return self._pick_less_loaded(candidates)
        share = self._update_remote_share(service, local, now)
        local_choice = self._pick_less_loaded(local)
        if share == 0.0 or self._random.random() >= share:
            return local_choice
        remote = [item for item in candidates if not self._is_local(item)]
        remote_choice = self._pick_less_loaded(remote)
        remote_load = (
            self._relative_load(remote_choice) + const.REMOTE_LOAD_MARGIN
        )
        return (
            remote_choice
            if remote_load < self._relative_load(local_choice)
            else local_choice
        )

    def _is_local(self, item: _Candidate) -> bool:
        return item.member.failure_domain == self._own_domain

    def _relative_load(self, item: _Candidate) -> float:
        """Return the load of a candidate as a fraction of its limit.

        The load is the sum of the calls that this daemon has in flight and
        of those that the hint reports. The call to be placed is left out,
        because a cold upstream with its low limit would otherwise lose to
        every idle warm one.
        """
        busy_calls = item.load.in_flight + _count_hinted_calls(item)
        load = busy_calls / item.limit
        if self._own_region in (None, item.member.region):
            return load
        return load + const.OTHER_REGION_PENALTY

    def _pick_less_loaded(
        self, candidates: Sequence[_Candidate]
    ) -> _Candidate:
        if len(candidates) == 1:
            return candidates[0]
        first = self._draw_by_limit(candidates)
        others = [item for item in candidates if item is not first]
        second = self._draw_by_limit(others)
        return (
            second
            if self._relative_load(second) < self._relative_load(first)
            else first
        )

    def _draw_by_limit(self, candidates: Sequence[_Candidate]) -> _Candidate:
        weights = [item.limit for item in candidates]
        return self._random.choices(candidates, weights)[0]

    def _update_remote_share(
        self,
        service: ids.ServiceName,
        local: Sequence[_Candidate],
        now: float,
    ) -> float:
        """Return the fraction of calls that may leave the own domain.

        The fraction is adjusted in steps and kept while the load of the own
        domain is between two thresholds. Plain hysteresis would send either
        all or none of the calls to other domains and oscillate.
        """
        state = self._overflows.setdefault(service, _RemoteOverflow())
        elapsed_intervals = (
            now - state.changed_at
        ) / const.REMOTE_FRACTION_INTERVAL_S
        if elapsed_intervals < 1.0:
            return state.share
        state.changed_at = now
        busy_calls = sum(
            max(item.load.in_flight, _count_hinted_calls(item))
            for item in local
        )
        domain_load = busy_calls / sum(item.limit for item in local)
        if domain_load >= const.DOMAIN_HIGH_LOAD_RATIO:
            state.share = min(
                1.0, state.share + const.REMOTE_FRACTION_INCREASE
            )
        elif domain_load < const.DOMAIN_LOW_LOAD_RATIO:
            state.share = max(
                0.0,
                state.share
                - elapsed_intervals * const.REMOTE_FRACTION_DECREASE,
            )
        return state.share

    def _refuse_unavailable(
        self,
        members: Sequence[records.Member],
        exclude: frozenset[ids.DaemonId],
        now: float,
    ) -> call.Refusal:
        probe_delays_s = []
        for member in members:
            load = self._loads.find(member.daemon_id)
            if load is None or load.failures == 0:
                continue
            if _is_serving(member) and member.daemon_id not in exclude:
                probe_delays_s.append(load.avoid_until - now)
        return call.Refusal(
            reason=enums.RefusalReason.NO_UPSTREAM,
            outcome=enums.Outcome.NOT_RUN,
            detail='no upstream of the service can take the call',
            retry_after_s=max(0.0, min(probe_delays_s))
            if probe_delays_s
            else None,
        )

    def _refuse_overloaded(self) -> call.Refusal:
        # Jitter keeps the callers from retrying all at once.
        jitter = self._random.uniform(1.0, 2.0)
        return call.Refusal(
            reason=enums.RefusalReason.OVERLOADED,
            outcome=enums.Outcome.NOT_RUN,
            detail='all upstreams admit only more important calls',
            retry_after_s=const.HINT_LIFETIME_S * jitter,
            shed=True,
        )

    def _store_hint(
        self, load: hints.PeerLoad, hint: messages.AdmissionHint
    ) -> None:
        load.hint = hint
        load.hint_at = self._clock.monotonic()

    def _record_failure(self, load: hints.PeerLoad) -> None:
        now = self._clock.monotonic()
        # Calls that were in flight when the daemon failed end one by one.
        # Only the first of them and failed probes lengthen the backoff.
        if load.failures > 0 and now < load.avoid_until and not load.is_probed:
            return
        self._extend_backoff(load)

    def _extend_backoff(self, load: hints.PeerLoad) -> None:
        max_delay_s = min(
            const.AVOID_MAX_S, const.AVOID_BASE_S * 2 ** min(load.failures, 16)
        )
        load.failures += 1
        load.is_probed = False
        # Jitter from half to full delay keeps daemons from probing in step.
        delay_s = max_delay_s * self._random.uniform(0.5, 1.0)
        load.avoid_until = self._clock.monotonic() + delay_s

    def _purge_unknown(self, now: float) -> None:
        if now < self._purge_at:
            return
        self._purge_at = now + const.ROUTING_PURGE_S
        for daemon_id, load in self._loads.items():
            is_known = self._membership.get(daemon_id) is not None
            if load.in_flight == 0 and not is_known:
                self._loads.remove(daemon_id)


def _record_success(load: hints.PeerLoad) -> None:
    load.failures = 0
    load.is_probed = False
    load.needs_probe_call = False


def _can_serve(status: enums.UpstreamStatus) -> bool:
    return (
        status is enums.UpstreamStatus.READY
        or status is enums.UpstreamStatus.COLD
    )


def _is_serving(member: records.Member) -> bool:
    return (
        member.status is enums.MemberStatus.ACTIVE
        and _can_serve(member.upstream_status)
        and member.slots > 0
    )


def _has_reason(
    result: call.Result | None, reasons: frozenset[enums.RefusalReason]
) -> bool:
    return isinstance(result, call.Refusal) and result.reason in reasons


def _count_hinted_calls(item: _Candidate) -> int:
    """Return the calls that the hint reports, at most twice the limit."""
    if item.hint is None:
        return 0
    busy_calls = max(0, item.hint.in_flight) + max(0, item.hint.queued)
    return min(busy_calls, 2 * item.limit)


def _find_limit(
    member: records.Member, hint: messages.AdmissionHint | None
) -> int:
    if hint is not None:
        return min(max(1, hint.limit), member.slots)
    if member.upstream_status is enums.UpstreamStatus.COLD:
        return max(1, int(member.slots * const.COLD_START_FRACTION))
    return member.slots
