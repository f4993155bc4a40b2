"""Tokens of the daemon that first receives calls, and the waiting calls.

This daemon requests tokens from the owners of the partitions of a service.
A limit is the rate and burst of one workspace at one service.
"""

import collections
import dataclasses
import math
import random as random_module
from typing import Callable

from sassafraswood import clock
from sassafraswood import const
from sassafraswood.coordination import ports
from sassafraswood.coordination import quota_demand
from sassafraswood.coordination import quota_limit
from sassafraswood.coordination import quota_ports
from sassafraswood.models import document
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import messages
from sassafraswood.models import records
from sassafraswood.state import token_cache

QuotaVerdict = quota_limit.QuotaVerdict

_GRANTED = QuotaVerdict(granted=True)
_PARTITIONS = range(const.PARTITIONS_PER_SERVICE)
# A request that is sent for other limits also asks for tokens of a limit that
# holds less than this fraction of its prefetch target, which saves messages.
_TOP_UP_FRACTION = 0.75
# A limit has a request sent when it holds less than this fraction of its
# prefetch target.
_PREFETCH_FRACTION = 0.3
# More waiting calls than this fraction of the burst are a burst of calls and
# not steady demand. The limit then prefetches nothing and leaves the last
# tokens to calls that wait at other daemons.
_BURST_WAITERS_FRACTION = 0.05

_Key = tuple[ids.ServiceName, int]


@dataclasses.dataclass(kw_only=True)
class _Owner:
    """State of a partition's owner, as its replies show it.

    Attributes:
        term: Term of the owner.
        is_silent: Whether the last request had no reply, or a reply that the
            daemon does not own the partition.
        sent_at: Monotonic time of the last request.
    """

    term: ids.Term
    is_silent: bool = False
    sent_at: float = -1.0


@dataclasses.dataclass(kw_only=True)
class _LimitDemand:
    """Part of a request that concerns one limit and one partition.

    Attributes:
        wanted: Tokens to request.
        waiting: Those of the wanted tokens that calls wait for.
    """

    limit: quota_limit.Limit
    partition: int
    term: ids.Term
    wanted: float
    waiting: float


@dataclasses.dataclass(kw_only=True)
class _Request:
    """A request to an owner daemon whose reply may still arrive."""

    sent_at: float
    daemon_id: ids.DaemonId
    limit_demands: list[_LimitDemand]


class QuotaClient:
    """Decides whether a call is within the rate and burst of its workspace.

    A call is admitted as soon as `take` or a grant gives it a token. The
    `send` method of the outbox must not call this object; messages to the
    own daemon go through the outbox as well.
    """

    def __init__(
        self,
        *,
        clock: clock.Clock,
        random: random_module.Random,
        outbox: ports.Outbox,
        own: records.Holder,
        configuration: quota_ports.Configuration,
    ) -> None:
        """Start without tokens."""
        self._clock = clock
        self._random = random
        self._outbox = outbox
        self._own = own
        self._configuration = configuration
        self._limits: dict[
            ids.ServiceName, dict[ids.Workspace, quota_limit.Limit]
        ] = {}
        self._owners: dict[_Key, _Owner] = {}
        self._requests: dict[int, _Request] = {}
        # Partition that all limits of a service ask first, so that they share
        # messages.
        self._preferred_partitions: dict[ids.ServiceName, int] = {}
        self._sequence = 0
        # Tokens that the current event wants, requested together at its end.
        self._wanted_tokens: dict[_Key, dict[ids.Workspace, float]] = {}
        self._decided: collections.deque[
            tuple[quota_limit.Waiter, QuotaVerdict]
        ] = collections.deque()

    @property
    def is_active(self) -> bool:
        """Return whether there are limits for `tick` to maintain."""
        return bool(self._limits)

    def take(
        self,
        service: ids.ServiceName,
        workspace: ids.Workspace,
        on_done: Callable[[QuotaVerdict], None],
        wait_s: float,
    ) -> QuotaVerdict | None:
        """Take a token for one call, or let the call wait for one.

        Args:
            service: The called service.
            workspace: The caller's workspace.
            on_done: Called once with the verdict if None is returned.
            wait_s: Longest wait in seconds.

        Returns:
            The verdict, or None if the call waits for a token.
        """
        now = self._clock.monotonic()
        spec = self._find_spec(service, workspace)
        if spec is None:
            return QuotaVerdict(
                granted=False,
                reason=enums.RefusalReason.RATE_EXCEEDED,
                retry_after_s=const.QUOTA_TOKEN_LIFETIME_S,
            )
        limit = self._get_limit(service, workspace)
        limit.used_at = now
        limit.demand_meter.note_call(now)
        if not limit.waiters:
            verdict = self._take_now(now, limit, spec)
            if verdict is not None:
                return verdict
        return self._enqueue(now, limit, spec, on_done, wait_s)

    def on_grant(
        self, message: messages.QuotaGrant, sender: ids.DaemonId
    ) -> None:
        """Apply a reply of an owner; ignore one that matches no request."""
        request = self._requests.get(message.sequence)
        if request is None or request.daemon_id != sender:
            return
        del self._requests[message.sequence]
        now = self._clock.monotonic()
        grants = {
            (grant.service, grant.partition, grant.workspace): grant
            for grant in message.grants
        }
        for limit_demand in request.limit_demands:
            limit = limit_demand.limit
            grant = grants.get(
                (limit.service, limit_demand.partition, limit.workspace)
            )
            self._apply_grant(now, request, limit_demand, grant)
        for limit in {
            id(limit_demand.limit): limit_demand.limit
            for limit_demand in request.limit_demands
        }.values():
            self._serve_waiters(now, limit)
        self._send_requests(now)
        self._run_callbacks()

    def tick(self) -> None:
        """Maintain all limits; call this every QUOTA_TICK_S.

        Prefetches tokens, reports spent ones, returns surplus ones and
        refuses calls that waited too long.
        """
        now = self._clock.monotonic()
        self._expire_requests(now)
        for limit in self._list_limits():
            spec = self._find_spec(limit.service, limit.workspace)
            self._serve_waiters(now, limit)
            if spec is not None and not limit.waiters:
                self._return_surplus(now, limit, spec)
                self._prefetch(now, limit, spec)
            self._report_if_due(now, limit, spec)
        self._send_requests(now)
        self._run_callbacks()
        self._remove_idle_limits(now)

    # Verdicts about calls.

    def _take_now(
        self,
        now: float,
        limit: quota_limit.Limit,
        spec: document.WorkspaceSpec,
    ) -> QuotaVerdict | None:
        if limit.spend(now):
            if _is_reported_at_once(spec):
                self._report_if_due(now, limit, spec)
                self._send_requests(now)
            return _GRANTED
        if now < limit.refused_until:
            return QuotaVerdict(
                granted=False,
                reason=limit.refusal_reason,
                retry_after_s=limit.refused_until - now,
            )
        return None

    def _enqueue(
        self,
        now: float,
        limit: quota_limit.Limit,
        spec: document.WorkspaceSpec,
        on_done: Callable[[QuotaVerdict], None],
        wait_s: float,
    ) -> QuotaVerdict | None:
        waiter = quota_limit.Waiter(
            arrived_at=now, deadline=now + max(0.0, wait_s), on_done=on_done
        )
        limit.waiters.append(waiter)
        if (
            wait_s <= 0.0
            or _is_small(spec)
            or not limit.has_recent_refusal(now)
        ):
            self._serve_waiters(now, limit)
        # After a recent refusal, the next tick sends the request for all such
        # limits, so that not every refused call costs a message.
        self._send_requests(now)
        verdict = None
        for entry in list(self._decided):
            if entry[0] is waiter:
                verdict = entry[1]
                self._decided.remove(entry)
        self._run_callbacks()
        return verdict

    def _serve_waiters(self, now: float, limit: quota_limit.Limit) -> None:
        """Grant, refuse or request tokens for the waiting calls of a limit."""
        while limit.waiters and limit.spend(now):
            self._decided.append((limit.waiters.popleft(), _GRANTED))
        spec = self._find_spec(limit.service, limit.workspace)
        if spec is None:
            while limit.waiters:
                self._refuse(now, limit, limit.waiters[0])
            return
        if len(limit.waiters) > _BURST_WAITERS_FRACTION * spec.burst:
            limit.burst_at = now
        if limit.waiters:
            self._return_fragments(now, limit, spec)
            self._request_for_waiters(now, limit, spec)
            for waiter in list(limit.waiters):
                if self._is_unservable(now, limit, waiter):
                    self._refuse(now, limit, waiter)
        elif _is_small(spec):
            # A leftover fraction of a token would block the refill of the
            # buckets at the owners.
            self._give_back_now(now, limit, limit.cache.total(now))
        if _is_reported_at_once(spec):
            self._report_if_due(now, limit, spec)

    def _is_unservable(
        self,
        now: float,
        limit: quota_limit.Limit,
        waiter: quota_limit.Waiter,
    ) -> bool:
        """Return whether no owner is expected to have a token in time."""
        if now >= waiter.deadline:
            return True
        available = self._find_available_partitions(now, limit)
        if not available:
            return True
        for partition in available:
            state = limit.partition_states[partition]
            if state.requested_at is not None:
                return False
            if not state.is_known_short(now, waiter.arrived_at):
                return False
        return self._find_next_token_at(now, limit) > waiter.deadline

    def _refuse(
        self,
        now: float,
        limit: quota_limit.Limit,
        waiter: quota_limit.Waiter,
    ) -> None:
        limit.waiters.remove(waiter)
        reason = enums.RefusalReason.RATE_EXCEEDED
        available = self._find_available_partitions(now, limit)
        for partition in _PARTITIONS:
            state = limit.partition_states[partition]
            since = waiter.arrived_at - const.QUOTA_REFUSAL_CACHE_S
            if state.replied_at < since or partition not in available:
                reason = enums.RefusalReason.QUOTA_UNREACHABLE
        if self._find_spec(limit.service, limit.workspace) is None:
            reason = enums.RefusalReason.RATE_EXCEEDED
        next_at = self._find_next_token_at(now, limit)
        limit.refusal_reason = reason
        limit.refused_until = min(next_at, now + const.QUOTA_REFUSAL_CACHE_S)
        verdict = QuotaVerdict(
            granted=False,
            reason=reason,
            retry_after_s=max(next_at - now, 0.0),
        )
        self._decided.append((waiter, verdict))

    def _find_next_token_at(
        self, now: float, limit: quota_limit.Limit
    ) -> float:
        """Return the earliest time at which an owner expects tokens."""
        times = [
            limit.partition_states[partition].retry_at
            for partition in self._find_available_partitions(now, limit)
        ]
        return min(times, default=now + const.QUOTA_REFUSAL_CACHE_S)

    def _run_callbacks(self) -> None:
        while self._decided:
            waiter, verdict = self._decided.popleft()
            waiter.on_done(verdict)

    # Tokens to request, to return and to report.

    def _request_for_waiters(
        self,
        now: float,
        limit: quota_limit.Limit,
        spec: document.WorkspaceSpec,
    ) -> None:
        needed = self._count_missing_tokens(now, limit)
        if needed <= const.QUOTA_ROUNDING_TOLERANCE:
            return
        partitions = self._find_askable_partitions(now, limit)
        if not partitions:
            return
        share = spec.burst / const.PARTITIONS_PER_SERVICE
        is_split_evenly = spec.burst < const.QUOTA_MIN_SINGLE_OWNER_BURST
        if not is_split_evenly and needed <= share / 2.0:
            # One owner is enough; the others are asked if it lacks tokens or
            # is slow to reply.
            partitions = [self._choose_partition(limit, partitions)]
        wanted = min(share, needed / len(partitions))
        for partition in partitions:
            self._add_wanted(limit, partition, wanted)

    def _return_fragments(
        self,
        now: float,
        limit: quota_limit.Limit,
        spec: document.WorkspaceSpec,
    ) -> None:
        """Return fractions of a token that other daemons may need.

        Two daemons that each hold a fraction of the only token would wait
        for each other. So while all owners lack tokens, a daemon keeps only
        fractions of the partitions before the first one of which it has
        none.
        """
        if not _is_small(spec):
            return
        available = self._find_available_partitions(now, limit)
        if not all(
            limit.partition_states[p].has_recent_shortage(now)
            for p in available
        ):
            return
        held = limit.cache.by_partition(now)
        missing = [p for p in available if p not in held]
        for partition in held:
            if missing and partition > missing[0]:
                limit.give_back(now, held[partition], partition)
                self._add_wanted(limit, partition, 0.0)

    def _prefetch(
        self,
        now: float,
        limit: quota_limit.Limit,
        spec: document.WorkspaceSpec,
    ) -> None:
        target = self._prefetch_target(now, limit, spec)
        held = limit.cache.total(now) + limit.count_tokens_in_flight(now)
        if target <= 0.0 or held >= max(1.0, target * _PREFETCH_FRACTION):
            return
        partitions = [
            partition
            for partition in self._find_askable_partitions(now, limit)
            if now >= limit.partition_states[partition].next_prefetch_at
        ]
        if not partitions:
            return
        partition = self._choose_partition(limit, partitions)
        self._add_wanted(limit, partition, math.ceil(target - held))

    def _prefetch_target(
        self,
        now: float,
        limit: quota_limit.Limit,
        spec: document.WorkspaceSpec,
    ) -> float:
        """Return the tokens to hold; none during and shortly after a burst."""
        if now < limit.burst_at + const.QUOTA_WAIT_S:
            return 0.0
        return limit.demand_meter.prefetch_tokens(now, spec)

    def _return_surplus(
        self,
        now: float,
        limit: quota_limit.Limit,
        spec: document.WorkspaceSpec,
    ) -> None:
        target = limit.demand_meter.prefetch_tokens(now, spec)
        held = limit.cache.total(now)
        if target <= 0.0:
            self._give_back_now(now, limit, held)
        elif held > 1.5 * target + 1.0:
            self._give_back_now(now, limit, held - target)

    def _give_back_now(
        self, now: float, limit: quota_limit.Limit, tokens: float
    ) -> None:
        if tokens <= const.QUOTA_ROUNDING_TOLERANCE:
            return
        limit.give_back(now, tokens)
        for partition in _PARTITIONS:
            if limit.partition_states[partition].returned:
                self._add_wanted(limit, partition, 0.0)

    def _report_if_due(
        self,
        now: float,
        limit: quota_limit.Limit,
        spec: document.WorkspaceSpec | None,
    ) -> None:
        """Report spent tokens before a late report delays the refill."""
        if spec is None:
            return
        # Requests for tokens carry most reports. These are the reports to
        # owners that are not asked for tokens again.
        interval_s = quota_demand.batch_interval_s(spec)
        if interval_s >= const.QUOTA_TOKEN_LIFETIME_S:
            # The grants expire at the owner early enough.
            return
        if _is_reported_at_once(spec):
            interval_s = 0.0
        for partition in _PARTITIONS:
            since = limit.partition_states[partition].unreported_since
            if since is not None and now - since >= interval_s:
                self._add_wanted(limit, partition, 0.0)

    # Requests to owners and their replies.

    def _add_wanted(
        self, limit: quota_limit.Limit, partition: int, tokens: float
    ) -> None:
        wanted_tokens = self._wanted_tokens.setdefault(
            (limit.service, partition), {}
        )
        wanted_tokens[limit.workspace] = (
            wanted_tokens.get(limit.workspace, 0.0) + tokens
        )

    def _send_requests(self, now: float) -> None:
        """Send one request to each daemon that owns a wanted partition."""
        wanted_tokens, self._wanted_tokens = self._wanted_tokens, {}
        targets: dict[
            tuple[ids.ServiceName, ids.DaemonId],
            list[records.PartitionEntry],
        ] = {}
        for service, partition in wanted_tokens:
            entry = self._configuration.partition(service, partition)
            if entry is not None:
                key = (service, entry.owner.daemon_id)
                targets.setdefault(key, []).append(entry)
        for (_, daemon_id), entries in targets.items():
            self._send_request(now, daemon_id, entries, wanted_tokens)

    def _send_request(
        self,
        now: float,
        daemon_id: ids.DaemonId,
        entries: list[records.PartitionEntry],
        wanted_tokens: dict[_Key, dict[ids.Workspace, float]],
    ) -> None:
        limit_demands: list[_LimitDemand] = []
        demands: list[messages.QuotaDemand] = []
        for entry in entries:
            wanted_by_workspace = wanted_tokens[
                (entry.service, entry.partition)
            ]
            self._get_owner(entry).sent_at = now
            for limit in self._limits.get(entry.service, {}).values():
                wanted = wanted_by_workspace.get(limit.workspace)
                limit_demand = self._plan_demand(now, limit, entry, wanted)
                if limit_demand is not None:
                    limit_demands.append(limit_demand)
                    demands.append(_build_demand(now, limit_demand))
        if not demands:
            return
        self._sequence += 1
        self._requests[self._sequence] = _Request(
            sent_at=now, daemon_id=daemon_id, limit_demands=limit_demands
        )
        self._outbox.send(
            daemon_id,
            messages.QuotaRequest(
                sequence=self._sequence,
                daemon_id=self._own.daemon_id,
                incarnation=self._own.incarnation,
                demands=demands,
            ),
        )

    def _plan_demand(
        self,
        now: float,
        limit: quota_limit.Limit,
        entry: records.PartitionEntry,
        wanted: float | None,
    ) -> _LimitDemand | None:
        """Return what to request and report for one limit, or None."""
        state = limit.partition_states[entry.partition]
        state.set_term(entry.term)
        if state.requested_at is not None:
            # Wait for the reply; a second request would replace the claim
            # that the first one left with the owner.
            return None
        if not wanted:
            wanted = self._count_top_up_tokens(now, limit, entry.partition)
            if wanted <= 0.0 and not (state.spent or state.returned):
                return None
        return _LimitDemand(
            limit=limit,
            partition=entry.partition,
            term=entry.term,
            wanted=wanted,
            waiting=min(
                wanted, max(0.0, self._count_missing_tokens(now, limit))
            ),
        )

    def _count_missing_tokens(
        self, now: float, limit: quota_limit.Limit
    ) -> float:
        """Return the tokens that waiting calls lack beyond those requested."""
        held = limit.cache.total(now) + limit.count_tokens_in_flight(now)
        return len(limit.waiters) - held

    def _count_top_up_tokens(
        self, now: float, limit: quota_limit.Limit, partition: int
    ) -> float:
        """Return the tokens to request in a message that is sent anyway."""
        spec = self._find_spec(limit.service, limit.workspace)
        if spec is None:
            return 0.0
        if limit.waiters:
            missing = self._count_missing_tokens(now, limit)
            return max(0.0, missing / const.PARTITIONS_PER_SERVICE)
        if now < limit.partition_states[partition].next_prefetch_at:
            return 0.0
        held = limit.cache.total(now) + limit.count_tokens_in_flight(now)
        target = self._prefetch_target(now, limit, spec)
        return (
            math.ceil(target - held)
            if held < _TOP_UP_FRACTION * target
            else 0.0
        )

    def _apply_grant(
        self,
        now: float,
        request: _Request,
        limit_demand: _LimitDemand,
        grant: messages.GrantedTokens | None,
    ) -> None:
        state = limit_demand.limit.partition_states[limit_demand.partition]
        if state.requested_at == request.sent_at:
            state.requested_at = None
        if (
            grant is None
            or grant.term != limit_demand.term
            or state.term != limit_demand.term
        ):
            return
        owner = self._owners.get(
            (limit_demand.limit.service, limit_demand.partition)
        )
        if owner is not None and owner.term == grant.term:
            owner.is_silent = not grant.owned
        if not grant.owned:
            return
        if limit_demand.wanted > 0.0:
            state.replied_at = now
        if (
            math.floor(limit_demand.wanted - limit_demand.waiting)
            > grant.tokens - limit_demand.waiting
        ):
            limit_demand.limit.preferred_partition = (
                limit_demand.partition + 1
            ) % len(_PARTITIONS)
            state.next_prefetch_at = now + const.QUOTA_PROBE_INTERVAL_S
        if limit_demand.waiting > 0.0:
            state.retry_at = 0.0
        if (
            grant.tokens
            < limit_demand.waiting - const.QUOTA_ROUNDING_TOLERANCE
        ):
            state.shortage_at = now
            state.retry_at = now + grant.retry_after_s
        if grant.tokens > 0.0:
            limit_demand.limit.cache.add(
                token_cache.HeldGrant(
                    partition=limit_demand.partition,
                    term=grant.term,
                    grant_id=grant.grant_id,
                    tokens=grant.tokens,
                    expires_at=request.sent_at + const.QUOTA_TOKEN_LIFETIME_S,
                )
            )

    def _expire_requests(self, now: float) -> None:
        for sequence, request in list(self._requests.items()):
            age_s = now - request.sent_at
            if age_s < const.QUOTA_ANSWER_TIMEOUT_S:
                continue
            for limit_demand in request.limit_demands:
                self._mark_unanswered(request, limit_demand)
            if age_s > const.QUOTA_TOKEN_LIFETIME_S:
                del self._requests[sequence]

    def _mark_unanswered(
        self, request: _Request, limit_demand: _LimitDemand
    ) -> None:
        """Mark the owner as silent after a request without a reply."""
        state = limit_demand.limit.partition_states[limit_demand.partition]
        if state.requested_at != request.sent_at:
            return
        state.requested_at = None
        owner = self._owners.get(
            (limit_demand.limit.service, limit_demand.partition)
        )
        if owner is not None and owner.term == limit_demand.term:
            owner.is_silent = True

    # Choice of the owners to ask.

    def _get_owner(self, entry: records.PartitionEntry) -> _Owner:
        key = (entry.service, entry.partition)
        owner = self._owners.get(key)
        if owner is None or owner.term != entry.term:
            owner = _Owner(term=entry.term)
            self._owners[key] = owner
        return owner

    def _find_available_partitions(
        self, now: float, limit: quota_limit.Limit
    ) -> list[int]:
        """Return the partitions whose owner is not known to be silent."""
        partitions = []
        for partition in _PARTITIONS:
            entry = self._configuration.partition(limit.service, partition)
            if entry is None:
                continue
            limit.partition_states[partition].set_term(entry.term)
            if not self._get_owner(entry).is_silent:
                partitions.append(partition)
        return partitions

    def _find_askable_partitions(
        self, now: float, limit: quota_limit.Limit
    ) -> list[int]:
        """Return the partitions to ask now.

        A silent owner is among them once per QUOTA_PROBE_INTERVAL_S.
        """
        partitions = []
        for partition in _PARTITIONS:
            entry = self._configuration.partition(limit.service, partition)
            if entry is None:
                continue
            state = limit.partition_states[partition]
            state.set_term(entry.term)
            owner = self._get_owner(entry)
            request_age_s = now - owner.sent_at
            if (
                owner.is_silent
                and request_age_s < const.QUOTA_PROBE_INTERVAL_S
            ):
                continue
            if state.requested_at is None and not state.has_recent_shortage(
                now
            ):
                partitions.append(partition)
        return partitions

    def _choose_partition(
        self, limit: quota_limit.Limit, partitions: list[int]
    ) -> int:
        """Return the partition to ask: the preferred one or one after it.

        Partitions with silent owners come last.

        The same owner is asked until it lacks tokens, so that requests for
        new tokens also carry the reports of its spent ones.
        """
        return min(
            partitions,
            key=lambda p: (
                self._owners[(limit.service, p)].is_silent,
                (p - limit.preferred_partition) % len(_PARTITIONS),
            ),
        )

    # Access to limits and their specifications.

    def _find_spec(
        self, service: ids.ServiceName, workspace: ids.Workspace
    ) -> document.WorkspaceSpec | None:
        entry = self._configuration.document(service)
        if entry is None:
            return None
        return entry.document.workspaces.get(workspace)

    def _get_limit(
        self, service: ids.ServiceName, workspace: ids.Workspace
    ) -> quota_limit.Limit:
        limits = self._limits.setdefault(service, {})
        limit = limits.get(workspace)
        if limit is None:
            limit = quota_limit.Limit(service, workspace)
            limit.preferred_partition = self._preferred_partitions.setdefault(
                service, self._random.randrange(len(_PARTITIONS))
            )
            limits[workspace] = limit
        return limit

    def _list_limits(self) -> list[quota_limit.Limit]:
        return [
            limit
            for limits in self._limits.values()
            for limit in limits.values()
        ]

    def _remove_idle_limits(self, now: float) -> None:
        for limit in self._list_limits():
            if limit.is_idle(now):
                del self._limits[limit.service][limit.workspace]
                if not self._limits[limit.service]:
                    del self._limits[limit.service]


def _build_demand(
    now: float, limit_demand: _LimitDemand
) -> messages.QuotaDemand:
    """Return the demand to send and mark it as in flight."""
    state = limit_demand.limit.partition_states[limit_demand.partition]
    demand = messages.QuotaDemand(
        service=limit_demand.limit.service,
        partition=limit_demand.partition,
        term=limit_demand.term,
        workspace=limit_demand.limit.workspace,
        spent={key: _compact(part) for key, part in state.spent.items()},
        returned={key: _compact(part) for key, part in state.returned.items()},
        wanted=_compact(limit_demand.wanted),
        waiting=_compact(limit_demand.waiting),
    )
    state.clear_reports()
    if limit_demand.wanted > 0.0:
        state.requested_at = now
        state.requested_tokens = limit_demand.wanted
    return demand


def _compact(tokens: float) -> float:
    """Return whole numbers as int, which is encoded in 1 byte, not 9."""
    return int(tokens) if tokens == int(tokens) else tokens


def _is_small(spec: document.WorkspaceSpec) -> bool:
    """Return whether the burst is too small to prefetch tokens from it."""
    return spec.burst < const.QUOTA_MIN_PREFETCH_BURST


def _is_reported_at_once(spec: document.WorkspaceSpec) -> bool:
    """Return whether a later report would delay much of the refill."""
    if spec.burst < const.QUOTA_MIN_SINGLE_OWNER_BURST:
        return True
    return quota_demand.batch_interval_s(spec) <= 4 * const.QUOTA_TICK_S
