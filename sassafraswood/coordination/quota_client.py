"""Tokens of a first daemon and the calls that wait for them."""

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
# A message for other reasons fills up a limit that holds less than this
# part of its prefetch, so that the limits of a service share messages.
_TOP_UP = 0.75
# A limit asks by itself when it holds less than this part.
_REFILL = 0.3
# More calls that wait at once, relative to the burst, are a burst and not
# steady demand; its last tokens are for calls that wait elsewhere.
_CROWD = 0.05

_Key = tuple[ids.ServiceName, int]


@dataclasses.dataclass(kw_only=True)
class _Owner:
    """A partition's owner as its answers show it."""

    term: ids.Term
    is_silent: bool = False
    sent_at: float = -1.0


@dataclasses.dataclass(kw_only=True)
class _Ask:
    limit: quota_limit.Limit
    partition: int
    term: ids.Term
    wanted: float
    waiting: float


@dataclasses.dataclass(kw_only=True)
class _Request:
    sent_at: float
    daemon_id: ids.DaemonId
    asks: list[_Ask]


class QuotaClient:
    """Decides whether a call is within the rate and burst of its workspace.

    A call is admitted at the moment at which `take` or a grant gives it a
    token. The outbox must not call back from `send`; messages to `own` go
    through it as well.
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
        # First choice of a service, so that its limits share messages.
        self._preferred: dict[ids.ServiceName, int] = {}
        self._sequence = 0
        # Wants of this event, sent together at its end.
        self._wants: dict[_Key, dict[ids.Workspace, float]] = {}
        self._done: collections.deque[
            tuple[quota_limit.Waiter, QuotaVerdict]
        ] = collections.deque()

    @property
    def is_active(self) -> bool:
        """Return whether `tick` has anything to do."""
        return bool(self._limits)

    def take(
        self,
        service: ids.ServiceName,
        workspace: ids.Workspace,
        on_done: Callable[[QuotaVerdict], None],
        wait_s: float,
    ) -> QuotaVerdict | None:
        """Ask for a token for one call.

        Args:
            service: The called service.
            workspace: The caller's workspace.
            on_done: Called once with the verdict if None is returned.
            wait_s: Longest wait in seconds.

        Returns:
            The verdict, or None if the call waits for an answer.
        """
        now = self._clock.monotonic()
        spec = self._spec(service, workspace)
        if spec is None:
            return QuotaVerdict(
                granted=False,
                reason=enums.RefusalReason.RATE_EXCEEDED,
                retry_after_s=const.QUOTA_TOKEN_LIFETIME_S,
            )
        limit = self._limit(service, workspace)
        limit.used_at = now
        limit.meter.note_call(now)
        if not limit.waiters:
            verdict = self._take_now(now, limit, spec)
            if verdict is not None:
                return verdict
        return self._enqueue(now, limit, spec, on_done, wait_s)

    def on_grant(
        self, message: messages.QuotaGrant, sender: ids.DaemonId
    ) -> None:
        """Take up an answer; one that was not asked for is ignored."""
        request = self._requests.get(message.sequence)
        if request is None or request.daemon_id != sender:
            return
        del self._requests[message.sequence]
        now = self._clock.monotonic()
        grants = {
            (grant.service, grant.partition, grant.workspace): grant
            for grant in message.grants
        }
        for ask in request.asks:
            limit = ask.limit
            grant = grants.get((limit.service, ask.partition, limit.workspace))
            self._take_up(now, request, ask, grant)
        for limit in {
            id(ask.limit): ask.limit for ask in request.asks
        }.values():
            self._pump(now, limit)
        self._flush(now)
        self._call_back()

    def tick(self) -> None:
        """Prefetch, report, return and end waits; every QUOTA_TICK_S."""
        now = self._clock.monotonic()
        self._expire_requests(now)
        for limit in self._all_limits():
            spec = self._spec(limit.service, limit.workspace)
            self._pump(now, limit)
            if spec is not None and not limit.waiters:
                self._return_surplus(now, limit, spec)
                self._prefetch(now, limit, spec)
            self._report_in_time(now, limit, spec)
        self._flush(now)
        self._call_back()
        self._forget_idle(now)

    # Calls.

    def _take_now(
        self,
        now: float,
        limit: quota_limit.Limit,
        spec: document.WorkspaceSpec,
    ) -> QuotaVerdict | None:
        if limit.spend(now):
            if _reports_at_once(spec):
                self._report_in_time(now, limit, spec)
                self._flush(now)
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
        if wait_s <= 0.0 or _is_small(spec) or not limit.is_pressed(now):
            self._pump(now, limit)
        # Otherwise the next tick asks for all limits under pressure, so that
        # refusals do not cost a message each.
        self._flush(now)
        verdict = None
        for entry in list(self._done):
            if entry[0] is waiter:
                verdict = entry[1]
                self._done.remove(entry)
        self._call_back()
        return verdict

    def _pump(self, now: float, limit: quota_limit.Limit) -> None:
        """Serve, refuse and ask for the waiting calls of a limit."""
        while limit.waiters and limit.spend(now):
            self._done.append((limit.waiters.popleft(), _GRANTED))
        spec = self._spec(limit.service, limit.workspace)
        if spec is None:
            while limit.waiters:
                self._refuse(now, limit, limit.waiters[0])
            return
        if len(limit.waiters) > _CROWD * spec.burst:
            limit.crowded_at = now
        if limit.waiters:
            self._release_fragments(now, limit, spec)
            self._ask_for_waiters(now, limit, spec)
            for waiter in list(limit.waiters):
                if self._is_hopeless(now, limit, waiter):
                    self._refuse(now, limit, waiter)
        elif _is_small(spec):
            # Fractions left over would block the refill at the owners.
            self._give_back_now(now, limit, limit.cache.total(now))
        if _reports_at_once(spec):
            self._report_in_time(now, limit, spec)

    def _is_hopeless(
        self,
        now: float,
        limit: quota_limit.Limit,
        waiter: quota_limit.Waiter,
    ) -> bool:
        if now >= waiter.deadline:
            return True
        available = self._available(now, limit)
        if not available:
            return True
        for partition in available:
            side = limit.sides[partition]
            if side.asked_at is not None:
                return False
            if not side.is_known_empty(now, waiter.arrived_at):
                return False
        return self._next_token_at(now, limit) > waiter.deadline

    def _refuse(
        self,
        now: float,
        limit: quota_limit.Limit,
        waiter: quota_limit.Waiter,
    ) -> None:
        limit.waiters.remove(waiter)
        reason = enums.RefusalReason.RATE_EXCEEDED
        for partition in _PARTITIONS:
            side = limit.sides[partition]
            since = waiter.arrived_at - const.QUOTA_REFUSAL_MEMORY_S
            if side.answered_at < since:
                reason = enums.RefusalReason.QUOTA_UNREACHABLE
        if self._spec(limit.service, limit.workspace) is None:
            reason = enums.RefusalReason.RATE_EXCEEDED
        next_at = self._next_token_at(now, limit)
        limit.refusal_reason = reason
        limit.refused_until = min(next_at, now + const.QUOTA_REFUSAL_MEMORY_S)
        verdict = QuotaVerdict(
            granted=False,
            reason=reason,
            retry_after_s=max(next_at - now, 0.0),
        )
        self._done.append((waiter, verdict))

    def _next_token_at(self, now: float, limit: quota_limit.Limit) -> float:
        """Return the earliest time at which an owner promised tokens."""
        times = [
            limit.sides[partition].retry_at
            for partition in self._available(now, limit)
        ]
        return min(times, default=now + const.QUOTA_REFUSAL_MEMORY_S)

    def _call_back(self) -> None:
        while self._done:
            waiter, verdict = self._done.popleft()
            waiter.on_done(verdict)

    # Demand.

    def _ask_for_waiters(
        self,
        now: float,
        limit: quota_limit.Limit,
        spec: document.WorkspaceSpec,
    ) -> None:
        needed = self._missing(now, limit)
        if needed <= const.QUOTA_EPSILON:
            return
        sides = self._askable(now, limit)
        if not sides:
            return
        share = spec.burst / const.PARTITIONS_PER_SERVICE
        is_even = spec.burst < const.QUOTA_EVEN_BURST
        if not is_even and needed <= share / 2.0:
            # One owner will do; the others follow if it is short or slow.
            sides = [self._pick(limit, sides)]
        wanted = min(share, needed / len(sides))
        for partition in sides:
            self._want(limit, partition, wanted)

    def _release_fragments(
        self,
        now: float,
        limit: quota_limit.Limit,
        spec: document.WorkspaceSpec,
    ) -> None:
        """Give way to other first daemons that collect one token as well.

        Two that each hold a part of the only token would wait for each
        other. So with all owners empty, parts are kept only of the
        partitions before the first one that is missing.
        """
        if not _is_small(spec):
            return
        available = self._available(now, limit)
        if not all(limit.sides[p].is_short(now) for p in available):
            return
        held = limit.cache.by_partition(now)
        missing = [p for p in available if p not in held]
        for partition in held:
            if missing and partition > missing[0]:
                limit.give_back(now, held[partition], partition)
                self._want(limit, partition, 0.0)

    def _prefetch(
        self,
        now: float,
        limit: quota_limit.Limit,
        spec: document.WorkspaceSpec,
    ) -> None:
        target = self._target(now, limit, spec)
        held = limit.cache.total(now) + limit.in_flight(now)
        if target <= 0.0 or held >= max(1.0, target * _REFILL):
            return
        sides = [
            partition
            for partition in self._askable(now, limit)
            if now >= limit.sides[partition].prefetch_at
        ]
        if not sides:
            return
        partition = self._pick(limit, sides)
        self._want(limit, partition, math.ceil(target - held))

    def _target(
        self,
        now: float,
        limit: quota_limit.Limit,
        spec: document.WorkspaceSpec,
    ) -> float:
        """Return the tokens to hold, none while a burst takes them all."""
        if now < limit.crowded_at + const.QUOTA_WAIT_S:
            return 0.0
        return limit.meter.prefetch(now, spec)

    def _return_surplus(
        self,
        now: float,
        limit: quota_limit.Limit,
        spec: document.WorkspaceSpec,
    ) -> None:
        target = limit.meter.prefetch(now, spec)
        held = limit.cache.total(now)
        if target <= 0.0:
            self._give_back_now(now, limit, held)
        elif held > 1.5 * target + 1.0:
            self._give_back_now(now, limit, held - target)

    def _give_back_now(
        self, now: float, limit: quota_limit.Limit, tokens: float
    ) -> None:
        if tokens <= const.QUOTA_EPSILON:
            return
        limit.give_back(now, tokens)
        for partition in _PARTITIONS:
            if limit.sides[partition].returned:
                self._want(limit, partition, 0.0)

    def _report_in_time(
        self,
        now: float,
        limit: quota_limit.Limit,
        spec: document.WorkspaceSpec | None,
    ) -> None:
        """Report spent tokens before they hold up the refill."""
        if spec is None:
            return
        # Requests for tokens carry most reports; this is for the tokens of
        # an owner that is not asked again.
        interval_s = quota_demand.batch_interval_s(spec)
        if interval_s >= const.QUOTA_TOKEN_LIFETIME_S:
            # The owner drops the grants by itself early enough.
            return
        if _reports_at_once(spec):
            interval_s = 0.0
        for partition in _PARTITIONS:
            since = limit.sides[partition].unreported_since
            if since is not None and now - since >= interval_s:
                self._want(limit, partition, 0.0)

    # Messages.

    def _want(
        self, limit: quota_limit.Limit, partition: int, tokens: float
    ) -> None:
        wants = self._wants.setdefault((limit.service, partition), {})
        wants[limit.workspace] = wants.get(limit.workspace, 0.0) + tokens

    def _flush(self, now: float) -> None:
        """Send one message to each owner daemon that something is for."""
        wants, self._wants = self._wants, {}
        targets: dict[
            tuple[ids.ServiceName, ids.DaemonId],
            list[records.PartitionEntry],
        ] = {}
        for service, partition in wants:
            entry = self._configuration.partition(service, partition)
            if entry is not None:
                key = (service, entry.owner.daemon_id)
                targets.setdefault(key, []).append(entry)
        for (_, daemon_id), entries in targets.items():
            self._send(now, daemon_id, entries, wants)

    def _send(
        self,
        now: float,
        daemon_id: ids.DaemonId,
        entries: list[records.PartitionEntry],
        wants: dict[_Key, dict[ids.Workspace, float]],
    ) -> None:
        asks: list[_Ask] = []
        demands: list[messages.QuotaDemand] = []
        for entry in entries:
            wanted_here = wants[(entry.service, entry.partition)]
            self._owner(entry).sent_at = now
            for limit in self._limits.get(entry.service, {}).values():
                wanted = wanted_here.get(limit.workspace)
                ask = self._plan(now, limit, entry, wanted)
                if ask is not None:
                    asks.append(ask)
                    demands.append(_demand(now, ask))
        if not demands:
            return
        self._sequence += 1
        self._requests[self._sequence] = _Request(
            sent_at=now, daemon_id=daemon_id, asks=asks
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

    def _plan(
        self,
        now: float,
        limit: quota_limit.Limit,
        entry: records.PartitionEntry,
        wanted: float | None,
    ) -> _Ask | None:
        """Return what one limit has to say to an owner, if anything."""
        side = limit.sides[entry.partition]
        side.follow(entry.term)
        if side.asked_at is not None:
            # The answer comes first; a second request would replace the
            # claim that the first one has left with the owner.
            return None
        if not wanted:
            wanted = self._top_up(now, limit, entry.partition)
            if wanted <= 0.0 and not (side.spent or side.returned):
                return None
        return _Ask(
            limit=limit,
            partition=entry.partition,
            term=entry.term,
            wanted=wanted,
            waiting=min(wanted, max(0.0, self._missing(now, limit))),
        )

    def _missing(self, now: float, limit: quota_limit.Limit) -> float:
        """Return the tokens that calls wait for and that nobody is asked."""
        held = limit.cache.total(now) + limit.in_flight(now)
        return len(limit.waiters) - held

    def _top_up(
        self, now: float, limit: quota_limit.Limit, partition: int
    ) -> float:
        """Return what to ask for in a message that is sent anyway."""
        spec = self._spec(limit.service, limit.workspace)
        if spec is None:
            return 0.0
        if limit.waiters:
            missing = self._missing(now, limit)
            return max(0.0, missing / const.PARTITIONS_PER_SERVICE)
        if now < limit.sides[partition].prefetch_at:
            return 0.0
        held = limit.cache.total(now) + limit.in_flight(now)
        target = self._target(now, limit, spec)
        return math.ceil(target - held) if held < _TOP_UP * target else 0.0

    def _take_up(
        self,
        now: float,
        request: _Request,
        ask: _Ask,
        grant: messages.GrantedTokens | None,
    ) -> None:
        side = ask.limit.sides[ask.partition]
        if side.asked_at == request.sent_at:
            side.asked_at = None
        if grant is None or grant.term != ask.term or side.term != ask.term:
            return
        owner = self._owners.get((ask.limit.service, ask.partition))
        if owner is not None and owner.term == grant.term:
            owner.is_silent = not grant.owned
        if not grant.owned:
            return
        if ask.wanted > 0.0:
            side.answered_at = now
        if math.floor(ask.wanted - ask.waiting) > grant.tokens - ask.waiting:
            ask.limit.preferred = (ask.partition + 1) % len(_PARTITIONS)
            side.prefetch_at = now + const.QUOTA_PROBE_INTERVAL_S
        if ask.waiting > 0.0:
            side.retry_at = 0.0
        if grant.tokens < ask.waiting - const.QUOTA_EPSILON:
            side.short_at = now
            side.retry_at = now + grant.retry_after_s
        if grant.tokens > 0.0:
            ask.limit.cache.add(
                token_cache.HeldGrant(
                    partition=ask.partition,
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
            for ask in request.asks:
                self._note_unanswered(request, ask)
            if age_s > const.QUOTA_TOKEN_LIFETIME_S:
                del self._requests[sequence]

    def _note_unanswered(self, request: _Request, ask: _Ask) -> None:
        side = ask.limit.sides[ask.partition]
        if side.asked_at != request.sent_at:
            return
        side.asked_at = None
        owner = self._owners.get((ask.limit.service, ask.partition))
        if owner is not None and owner.term == ask.term:
            owner.is_silent = True

    # Owners.

    def _owner(self, entry: records.PartitionEntry) -> _Owner:
        key = (entry.service, entry.partition)
        owner = self._owners.get(key)
        if owner is None or owner.term != entry.term:
            owner = _Owner(term=entry.term)
            self._owners[key] = owner
        return owner

    def _available(self, now: float, limit: quota_limit.Limit) -> list[int]:
        """Return the partitions whose owners are not known to be silent."""
        partitions = []
        for partition in _PARTITIONS:
            entry = self._configuration.partition(limit.service, partition)
            if entry is None:
                continue
            limit.sides[partition].follow(entry.term)
            if not self._owner(entry).is_silent:
                partitions.append(partition)
        return partitions

    def _askable(self, now: float, limit: quota_limit.Limit) -> list[int]:
        """Return the partitions to ask now, silent ones for a probe."""
        partitions = []
        for partition in _PARTITIONS:
            entry = self._configuration.partition(limit.service, partition)
            if entry is None:
                continue
            side = limit.sides[partition]
            side.follow(entry.term)
            owner = self._owner(entry)
            probed_s = now - owner.sent_at
            if owner.is_silent and probed_s < const.QUOTA_PROBE_INTERVAL_S:
                continue
            if side.asked_at is None and not side.is_short(now):
                partitions.append(partition)
        return partitions

    def _pick(self, limit: quota_limit.Limit, partitions: list[int]) -> int:
        """Return the preferred partition, or the next one that answers.

        Asking the same owner until it is short lets the reports of spent
        tokens travel with the requests for new ones.
        """
        return min(
            partitions,
            key=lambda p: (
                self._owners[(limit.service, p)].is_silent,
                (p - limit.preferred) % len(_PARTITIONS),
            ),
        )

    # Limits.

    def _spec(
        self, service: ids.ServiceName, workspace: ids.Workspace
    ) -> document.WorkspaceSpec | None:
        entry = self._configuration.document(service)
        if entry is None:
            return None
        return entry.document.workspaces.get(workspace)

    def _limit(
        self, service: ids.ServiceName, workspace: ids.Workspace
    ) -> quota_limit.Limit:
        limits = self._limits.setdefault(service, {})
        limit = limits.get(workspace)
        if limit is None:
            limit = quota_limit.Limit(service, workspace)
            limit.preferred = self._preferred.setdefault(
                service, self._random.randrange(len(_PARTITIONS))
            )
            limits[workspace] = limit
        return limit

    def _all_limits(self) -> list[quota_limit.Limit]:
        return [
            limit
            for limits in self._limits.values()
            for limit in limits.values()
        ]

    def _forget_idle(self, now: float) -> None:
        for limit in self._all_limits():
            if limit.is_idle(now):
                del self._limits[limit.service][limit.workspace]
                if not self._limits[limit.service]:
                    del self._limits[limit.service]


def _demand(now: float, ask: _Ask) -> messages.QuotaDemand:
    """Return the demand to send and note that it is on its way."""
    side = ask.limit.sides[ask.partition]
    demand = messages.QuotaDemand(
        service=ask.limit.service,
        partition=ask.partition,
        term=ask.term,
        workspace=ask.limit.workspace,
        spent={key: _compact(part) for key, part in side.spent.items()},
        returned={key: _compact(part) for key, part in side.returned.items()},
        wanted=_compact(ask.wanted),
        waiting=_compact(ask.waiting),
    )
    side.clear_reports()
    if ask.wanted > 0.0:
        side.asked_at = now
        side.wanted = ask.wanted
    return demand


def _compact(tokens: float) -> float:
    """Return whole numbers as int, which takes 1 byte instead of 9."""
    return int(tokens) if tokens == int(tokens) else tokens


def _is_small(spec: document.WorkspaceSpec) -> bool:
    return spec.burst < const.QUOTA_MIN_PREFETCH_BURST


def _reports_at_once(spec: document.WorkspaceSpec) -> bool:
    """Return whether a later report would hold up much of the refill."""
    if spec.burst < const.QUOTA_EVEN_BURST:
        return True
    return quota_demand.batch_interval_s(spec) <= 4 * const.QUOTA_TICK_S
