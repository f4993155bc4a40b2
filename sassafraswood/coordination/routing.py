"""Chooses the daemon beside an upstream for a call."""

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

_NOTHING_KNOWN = hints.PeerLoad()

# Ends of a call that say that the next call to the same daemon would fail
# in the same way: the daemon is not reached, or its upstream is not.
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

# This daemon ended the call without hearing of the other.
_LOCAL_ENDS = frozenset(
    {
        enums.RefusalReason.CANCELLED,
        enums.RefusalReason.DEADLINE_EXCEEDED,
    }
)


class Members(Protocol):
    """The part of the membership that routing reads."""

    def members(
        self, service: ids.ServiceName | None = None
    ) -> list[records.Member]:
        """Return the members of a service."""

    def get(self, daemon_id: ids.DaemonId) -> records.Member | None:
        """Return a member, or None if it is unknown."""

    def is_silent(self, daemon_id: ids.DaemonId) -> bool:
        """Return whether a peer does not answer."""


class _Candidate(NamedTuple):
    """An upstream that may get the call.

    Attributes:
        load: Own measurements.
        hint: The last hint, if it is fresh.
        limit: Calls that it runs at once, as hinted or announced.
    """

    member: records.Member
    load: hints.PeerLoad
    hint: messages.AdmissionHint | None
    limit: int


@dataclasses.dataclass(kw_only=True)
class _RemoteShare:
    """Share of the calls to a service that leave the own failure domain."""

    share: float = 0.0
    changed_at: float = 0.0


class Router:
    """Two random choices, with the own failure domain first.

    Two choices: M. Mitzenmacher, "The Power of Two Choices in Randomized
    Load Balancing", IEEE TPDS 12(10), 2001. Both are drawn in proportion to
    the limits, so that a cold upstream gets its part only.

    A hint counts for HINT_LIFETIME_S. Its limit is cut to the announced
    slots and its load to twice the limit, and the own calls in flight count
    besides it, so a wrong hint moves a bounded part of the calls for at most
    that time.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        random: random_module.Random,
        own_domain: ids.FailureDomain,
        membership: Members,
        own_region: str | None = None,
    ) -> None:
        """Take the place of this daemon and the known members.

        Args:
            clock: Source of time.
            random: Source of the choices.
            own_domain: Failure domain of this daemon.
            membership: The known members.
            own_region: Region of this daemon; upstreams in another one are
                taken as more loaded. None treats all regions alike.
        """
        self._clock = clock
        self._random = random
        self._own_domain = own_domain
        self._membership = membership
        self._own_region = own_region
        self._loads = hints.HintTable()
        self._remote: dict[ids.ServiceName, _RemoteShare] = {}
        self._purge_at = clock.monotonic() + const.ROUTING_PURGE_S

    def choose(
        self,
        service: ids.ServiceName,
        importance: enums.Importance,
        exclude: frozenset[ids.DaemonId],
    ) -> ids.DaemonId | call.Refusal:
        """Return the daemon to send a call to, or a refusal as not run.

        Args:
            service: The callee.
            importance: Importance of the call.
            exclude: Daemons that earlier attempts were sent to.
        """
        now = self._clock.monotonic()
        self._purge(now)
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
            return self._pick(service, admitting, now).member.daemon_id
        if self._random.random() < const.PROBING_SHARE:
            return self._pick_of_two(candidates).member.daemon_id
        return self._refuse_overloaded()

    def note_sent(self, daemon_id: ids.DaemonId) -> None:
        """Count a call as in flight."""
        load = self._loads.get(daemon_id)
        load.in_flight += 1
        if load.failures > 0:
            # The call is a probe; others wait for its result.
            load.is_probed = True
            load.avoid_until = self._clock.monotonic() + const.PEER_SILENT_S

    def note_result(
        self,
        daemon_id: ids.DaemonId,
        result: call.Result | None,
        hint: messages.AdmissionHint | None,
    ) -> None:
        """Count a call as ended.

        Args:
            daemon_id: Where it was sent.
            result: How it ended; None if the connection went silent.
            hint: The hint that came with the result.
        """
        load = self._loads.get(daemon_id)
        load.in_flight = max(0, load.in_flight - 1)
        if _has_reason(result, _UPSTREAM_UNREACHABLE):
            self._note_failure(load)
            load.needs_call = True
        elif result is None or _has_reason(result, _DAEMON_UNREACHABLE):
            self._note_failure(load)
        elif not _has_reason(result, _LOCAL_ENDS):
            _note_success(load)
        if hint is not None:
            self._store_hint(load, hint)

    def note_hint(
        self, daemon_id: ids.DaemonId, hint: messages.AdmissionHint
    ) -> None:
        """Take the hint of a Pong, which also proves the peer reachable."""
        load = self._loads.get(daemon_id)
        self._store_hint(load, hint)
        if not load.needs_call and _can_serve(hint.upstream_status):
            _note_success(load)

    def probes_due(self) -> list[ids.DaemonId]:
        """Return the avoided daemons to send a Ping on a new connection.

        Called every 100 ms; each daemon is returned once per backoff. A call
        to a silent peer could end with unknown outcome, a Ping does no harm;
        therefore peers that the membership holds silent are probed in this
        way only.
        """
        now = self._clock.monotonic()
        due = []
        for daemon_id, load in self._loads.items():
            is_silent = self._membership.is_silent(daemon_id)
            if is_silent and load.failures == 0:
                self._note_failure(load)
            if load.failures == 0 or (load.needs_call and not is_silent):
                continue
            if now >= load.avoid_until:
                due.append(daemon_id)
                self._avoid(load)
        return due

    def _find_candidates(
        self,
        members: Sequence[records.Member],
        exclude: frozenset[ids.DaemonId],
        now: float,
    ) -> list[_Candidate]:
        found = []
        for member in members:
            daemon_id = member.daemon_id
            if daemon_id in exclude or not _is_serving(member):
                continue
            if self._membership.is_silent(daemon_id):
                continue
            load = self._loads.find(daemon_id) or _NOTHING_KNOWN
            if load.failures > 0 and now < load.avoid_until:
                continue
            hint = load.hint
            if now - load.hint_at >= const.HINT_LIFETIME_S:
                hint = None
            if hint is not None and not _can_serve(hint.upstream_status):
                continue
            limit = _find_limit(member, hint)
            found.append(_Candidate(member, load, hint, limit))
        return found

    def _pick(
        self,
        service: ids.ServiceName,
        candidates: Sequence[_Candidate],
        now: float,
    ) -> _Candidate:
        local = [item for item in candidates if self._is_local(item)]
        if not local or len(local) == len(candidates):
            return self._pick_of_two(candidates)
        share = self._update_share(service, local, now)
        near = self._pick_of_two(local)
        if share == 0.0 or self._random.random() >= share:
            return near
        remote = [item for item in candidates if not self._is_local(item)]
        far = self._pick_of_two(remote)
        far_load = self._rate(far) + const.REMOTE_MARGIN
        return far if far_load < self._rate(near) else near

    def _is_local(self, item: _Candidate) -> bool:
        return item.member.failure_domain == self._own_domain

    def _rate(self, item: _Candidate) -> float:
        """Return the load that two choices compare, relative to the limit.

        Own calls in flight and hinted ones are added. The next call is not
        counted in, because a cold upstream would then lose to every idle
        warm one.
        """
        busy = item.load.in_flight + _find_hinted(item)
        load = busy / item.limit
        if self._own_region in (None, item.member.region):
            return load
        return load + const.OTHER_REGION_LOAD

    def _pick_of_two(self, candidates: Sequence[_Candidate]) -> _Candidate:
        if len(candidates) == 1:
            return candidates[0]
        first = self._draw(candidates)
        others = [item for item in candidates if item is not first]
        second = self._draw(others)
        return second if self._rate(second) < self._rate(first) else first

    def _draw(self, candidates: Sequence[_Candidate]) -> _Candidate:
        weights = [item.limit for item in candidates]
        return self._random.choices(candidates, weights)[0]

    def _update_share(
        self,
        service: ids.ServiceName,
        local: Sequence[_Candidate],
        now: float,
    ) -> float:
        """Return the share of calls that leave the own failure domain.

        It moves in steps and stays where it is while the load of the domain
        is between two thresholds. A plain switch with two thresholds would
        send all or nothing across and swing between them.
        """
        state = self._remote.setdefault(service, _RemoteShare())
        steps = (now - state.changed_at) / const.REMOTE_SHARE_INTERVAL_S
        if steps < 1.0:
            return state.share
        state.changed_at = now
        busy = sum(
            max(item.load.in_flight, _find_hinted(item)) for item in local
        )
        ratio = busy / sum(item.limit for item in local)
        if ratio >= const.DOMAIN_LOADED_RATIO:
            state.share = min(1.0, state.share + const.REMOTE_SHARE_UP)
        elif ratio < const.DOMAIN_RELIEVED_RATIO:
            state.share = max(
                0.0, state.share - steps * const.REMOTE_SHARE_DOWN
            )
        return state.share

    def _refuse_unavailable(
        self,
        members: Sequence[records.Member],
        exclude: frozenset[ids.DaemonId],
        now: float,
    ) -> call.Refusal:
        probes = []
        for member in members:
            load = self._loads.find(member.daemon_id)
            if load is None or load.failures == 0:
                continue
            if _is_serving(member) and member.daemon_id not in exclude:
                probes.append(load.avoid_until - now)
        return call.Refusal(
            reason=enums.RefusalReason.NO_UPSTREAM,
            outcome=enums.Outcome.NOT_RUN,
            detail='no upstream of the service can take the call',
            retry_after_s=max(0.0, min(probes)) if probes else None,
        )

    def _refuse_overloaded(self) -> call.Refusal:
        # Spread, so that the callers do not come back all at once.
        spread = self._random.uniform(1.0, 2.0)
        return call.Refusal(
            reason=enums.RefusalReason.OVERLOADED,
            outcome=enums.Outcome.NOT_RUN,
            detail='all upstreams admit only more important calls',
            retry_after_s=const.HINT_LIFETIME_S * spread,
            shed=True,
        )

    def _store_hint(
        self, load: hints.PeerLoad, hint: messages.AdmissionHint
    ) -> None:
        load.hint = hint
        load.hint_at = self._clock.monotonic()

    def _note_failure(self, load: hints.PeerLoad) -> None:
        now = self._clock.monotonic()
        # The calls that were in flight at one failure end one by one; only
        # the first of them and failed probes lengthen the backoff.
        if load.failures > 0 and now < load.avoid_until and not load.is_probed:
            return
        self._avoid(load)

    def _avoid(self, load: hints.PeerLoad) -> None:
        longest_s = min(
            const.AVOID_MAX_S, const.AVOID_BASE_S * 2 ** min(load.failures, 16)
        )
        load.failures += 1
        load.is_probed = False
        # Between half and all, so that daemons do not probe in step.
        delay_s = longest_s * self._random.uniform(0.5, 1.0)
        load.avoid_until = self._clock.monotonic() + delay_s

    def _purge(self, now: float) -> None:
        if now < self._purge_at:
            return
        self._purge_at = now + const.ROUTING_PURGE_S
        for daemon_id, load in self._loads.items():
            is_known = self._membership.get(daemon_id) is not None
            if load.in_flight == 0 and not is_known:
                self._loads.remove(daemon_id)


def _note_success(load: hints.PeerLoad) -> None:
    load.failures = 0
    load.is_probed = False
    load.needs_call = False


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


def _find_hinted(item: _Candidate) -> int:
    """Return the hinted calls, at most twice the limit."""
    if item.hint is None:
        return 0
    busy = max(0, item.hint.in_flight) + max(0, item.hint.queued)
    return min(busy, 2 * item.limit)


def _find_limit(
    member: records.Member, hint: messages.AdmissionHint | None
) -> int:
    if hint is not None:
        return min(max(1, hint.limit), member.slots)
    if member.upstream_status is enums.UpstreamStatus.COLD:
        return max(1, int(member.slots * const.COLD_START_SHARE))
    return member.slots
