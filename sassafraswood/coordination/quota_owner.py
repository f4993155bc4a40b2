"""Grants of tokens by the owner of a partition of a service.

A workspace's limit is split evenly over the partitions. The owner of each one
keeps a token bucket per workspace and grants its tokens to the daemons that
receive calls. In a planned hand-over the next owner continues the buckets: the
last owner exports them once it grants no more, and never uses its term again.
"""

import dataclasses

from sassafraswood import clock
from sassafraswood import const
from sassafraswood.coordination import quota_claims
from sassafraswood.coordination import quota_ports
from sassafraswood.models import document
from sassafraswood.models import ids
from sassafraswood.models import messages
from sassafraswood.models import records
from sassafraswood.state import token_bucket

_GRANT_LIFETIME_S = const.QUOTA_TOKEN_LIFETIME_S + const.QUOTA_TOKEN_MARGIN_S

_MAX_RETRY_AFTER_S = 60.0


@dataclasses.dataclass(kw_only=True)
class _Limit:
    """Bucket of one workspace and the unmet demand for its tokens.

    Attributes:
        usable_at: Monotonic time in seconds at which all tokens of a last
            owner that has not told how many it granted have expired.
    """

    bucket: token_bucket.TokenBucket
    claims: quota_claims.QuotaClaims
    usable_at: float = 0.0


@dataclasses.dataclass(kw_only=True)
class _Partition:
    """Limits of an owned partition in one term, under one document."""

    term: ids.Term
    revision: ids.Revision
    limits: dict[ids.Workspace, _Limit]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _ReceivedState:
    """Limits that the owner of a term has handed over."""

    term: ids.Term
    quota: messages.QuotaState


@dataclasses.dataclass(kw_only=True)
class _Sender:
    """Last request of a daemon, and the reply to it."""

    incarnation: ids.Incarnation
    sequence: int
    last_request_at: float
    reply: messages.QuotaGrant


class QuotaOwner:
    """Replies to quota requests for the partitions that this daemon owns.

    Each request counts once. If a sender repeats its last sequence number,
    it gets the same reply again. An older sequence number or an older
    incarnation gets a reply without grants.
    """

    def __init__(
        self,
        *,
        clock: clock.Clock,
        leases: quota_ports.Leases,
        configuration: quota_ports.Documents,
    ) -> None:
        """Start without buckets; each term creates its own at first use."""
        self._clock = clock
        self._leases = leases
        self._configuration = configuration
        self._partitions: dict[tuple[ids.ServiceName, int], _Partition] = {}
        self._received_states: dict[
            tuple[ids.ServiceName, int], _ReceivedState
        ] = {}
        self._senders: dict[ids.DaemonId, _Sender] = {}
        self._next_grant_id = 1
        self._next_eviction_at = 0.0

    def on_request(
        self, message: messages.QuotaRequest
    ) -> messages.QuotaGrant:
        """Apply the reports in a request and return the reply with grants."""
        now = self._clock.monotonic()
        self._evict_senders(now)
        sender = self._senders.get(message.daemon_id)
        if sender is not None:
            last_request = (sender.incarnation, sender.sequence)
            if last_request == (message.incarnation, message.sequence):
                return sender.reply
            if last_request > (message.incarnation, message.sequence):
                return messages.QuotaGrant(
                    sequence=message.sequence, grants=[]
                )
        holder = records.Holder(
            daemon_id=message.daemon_id, incarnation=message.incarnation
        )
        reply = messages.QuotaGrant(
            sequence=message.sequence,
            grants=[
                self._serve_demand(now, holder, demand)
                for demand in message.demands
            ],
        )
        self._senders[message.daemon_id] = _Sender(
            incarnation=message.incarnation,
            sequence=message.sequence,
            last_request_at=now,
            reply=reply,
        )
        return reply

    def refresh(self, service: ids.ServiceName, partition: int) -> None:
        """Apply a new term or document before the next request.

        The composition root calls this when a term has begun and when a
        document has come into force. Without the call, a bucket starts to
        fill at the first request of its term, and a document applies from
        the next request.
        """
        entry = self._leases.owned(service, partition)
        if entry is not None:
            self._get_partition_state(
                self._clock.monotonic(), entry, is_prompt=True
            )

    def export(
        self, entry: records.PartitionEntry
    ) -> messages.QuotaState | None:
        """Return the limits of a term that this daemon no longer uses.

        It is None while the term is used, or if it never was. A limit of which
        this daemon does not know how many tokens the owner before it had
        granted is left out, so that the next owner does not know it either.
        """
        key = (entry.service, entry.partition)
        state = self._partitions.get(key)
        if state is None or state.term != entry.term:
            return None
        if self._leases.owned(*key) is not None:
            return None
        now = self._clock.monotonic()
        for limit in state.limits.values():
            limit.bucket.advance(now)
        return messages.QuotaState(
            revision=state.revision,
            limits=[
                messages.LimitTokens(
                    workspace=workspace,
                    level=limit.bucket.level,
                    outstanding=limit.bucket.outstanding,
                )
                for workspace, limit in state.limits.items()
                if now >= limit.usable_at
            ],
        )

    def accept(self, message: messages.HandOver) -> None:
        """Store the limits of a hand-over for the term that follows it.

        Messages of earlier terms may arrive late.
        """
        if message.quota is None:
            return
        key = (message.service, message.partition)
        known = self._received_states.get(key)
        if known is None or known.term <= message.term:
            self._received_states[key] = _ReceivedState(
                term=message.term, quota=message.quota
            )

    def _serve_demand(
        self,
        now: float,
        holder: records.Holder,
        demand: messages.QuotaDemand,
    ) -> messages.GrantedTokens:
        entry = self._leases.owned(demand.service, demand.partition)
        if entry is None or entry.term != demand.term:
            return _build_grant(demand, owned=False)
        limits = self._get_partition_state(now, entry).limits
        limit = limits.get(demand.workspace)
        if limit is None:
            return _build_grant(
                demand, retry_after_s=const.QUOTA_TOKEN_LIFETIME_S
            )
        if now < limit.usable_at:
            # How much of the limit is used is not known, so no call may be
            # refused for it.
            return _build_grant(demand, owned=False)
        limit.bucket.advance(now)
        self._apply_reports(holder, demand, limit.bucket)
        return self._grant(now, holder, demand, limit)

    def _apply_reports(
        self,
        holder: records.Holder,
        demand: messages.QuotaDemand,
        bucket: token_bucket.TokenBucket,
    ) -> None:
        for grant_id, tokens in demand.spent.items():
            bucket.report(grant_id, holder=holder, spent=tokens)
        for grant_id, tokens in demand.returned.items():
            bucket.report(grant_id, holder=holder, returned=tokens)

    def _grant(
        self,
        now: float,
        holder: records.Holder,
        demand: messages.QuotaDemand,
        limit: _Limit,
    ) -> messages.GrantedTokens:
        bucket, claims = limit.bucket, limit.claims
        unit = min(1.0, bucket.share)
        wanted = max(0.0, demand.wanted)
        waiting = min(wanted, max(0.0, demand.waiting))
        free = claims.reserve_free_tokens(now, level=bucket.level, unit=unit)
        tokens = claims.take(
            now,
            holder=holder,
            wanted=wanted,
            waiting=waiting,
            free=free,
            unit=unit,
            is_small=_is_small(bucket),
            reserve=const.QUOTA_RESERVE_FRACTION * bucket.share,
        )
        grant_id = 0
        if tokens > 0.0:
            grant_id = self._next_grant_id
            self._next_grant_id += 1
            bucket.grant(
                grant_id,
                holder=holder,
                tokens=tokens,
                expires_at=now + _GRANT_LIFETIME_S,
            )
        retry_after_s = 0.0
        if tokens < waiting - const.QUOTA_ROUNDING_TOLERANCE:
            retry_after_s = _retry_after_s(holder, waiting - tokens, limit)
            if retry_after_s > const.QUOTA_WAIT_S:
                # No call waits that long, so no tokens are reserved for it.
                claims.remove(holder)
        return _build_grant(
            demand,
            grant_id=grant_id,
            tokens=tokens,
            retry_after_s=retry_after_s,
        )

    def _get_partition_state(
        self,
        now: float,
        entry: records.PartitionEntry,
        is_prompt: bool = False,
    ) -> _Partition:
        """Return the partition's state for its term and document in force."""
        key = (entry.service, entry.partition)
        state = self._partitions.get(key)
        published = self._configuration.document(entry.service)
        revision = published.revision if published else ids.Revision(0)
        workspaces = published.document.workspaces if published else {}
        if state is None or state.term != entry.term:
            state = _Partition(term=entry.term, revision=revision, limits={})
            received = self._received_states.pop(key, None)
            for workspace, spec in workspaces.items():
                limit = _create_limit(now, spec)
                _count_tokens_of_earlier_term(
                    now,
                    entry,
                    limit,
                    _find_received(received, entry, revision, workspace),
                )
                state.limits[workspace] = limit
            self._partitions[key] = state
        elif state.revision != revision:
            _apply_document(now, state, revision, workspaces, is_prompt)
        return state

    def _evict_senders(self, now: float) -> None:
        if now < self._next_eviction_at:
            return
        self._next_eviction_at = now + const.QUOTA_SEQUENCE_RETENTION_S
        evict_before = now - const.QUOTA_SEQUENCE_RETENTION_S
        self._senders = {
            daemon_id: sender
            for daemon_id, sender in self._senders.items()
            if sender.last_request_at > evict_before
        }


def _build_grant(
    demand: messages.QuotaDemand,
    *,
    grant_id: int = 0,
    tokens: float = 0.0,
    retry_after_s: float = 0.0,
    owned: bool = True,
) -> messages.GrantedTokens:
    return messages.GrantedTokens(
        service=demand.service,
        partition=demand.partition,
        term=demand.term,
        workspace=demand.workspace,
        grant_id=grant_id,
        tokens=_compact(tokens),
        retry_after_s=_compact(round(retry_after_s, 4)),
        owned=owned,
    )


def _compact(number: float) -> float:
    """Return whole numbers as int, which is encoded in 1 byte, not 9."""
    return int(number) if number == int(number) else number


def _is_small(bucket: token_bucket.TokenBucket) -> bool:
    """Return whether the burst is too small for prefetching.

    Daemons then hold tokens only for waiting calls.
    """
    burst = bucket.share * const.PARTITIONS_PER_SERVICE
    return burst < const.QUOTA_MIN_PREFETCH_BURST


def _retry_after_s(
    holder: records.Holder, unmet: float, limit: _Limit
) -> float:
    """Return the seconds until the bucket should have tokens for the holder.

    These are a unit, or the unmet rest of its claim if that is less.

    Args:
        holder: Daemon that waits for tokens.
        unmet: Tokens that its calls wait for.
        limit: Limit of the tokens.
    """
    bucket = limit.bucket
    unit = min(1.0, bucket.share)
    held = bucket.outstanding_of(holder)
    if _is_small(bucket):
        if bucket.outstanding - held > const.QUOTA_ROUNDING_TOLERANCE:
            # Several daemons may hold fractions of one token. Within one
            # exchange they return them in favor of one daemon.
            return const.QUOTA_TICK_S / 2
        if (
            min(unmet, unit)
            > bucket.share - held + const.QUOTA_ROUNDING_TOLERANCE
        ):
            # The tokens that the holder has not reported as spent keep the
            # bucket from refilling.
            return const.QUOTA_TOKEN_LIFETIME_S
    if bucket.rate <= 0.0:
        return _MAX_RETRY_AFTER_S
    ahead = limit.claims.tokens_ahead(holder, unit)
    return min(_MAX_RETRY_AFTER_S, ahead / bucket.rate)


def _create_limit(now: float, spec: document.WorkspaceSpec) -> _Limit:
    bucket = token_bucket.TokenBucket(
        rate=spec.rate / const.PARTITIONS_PER_SERVICE,
        share=spec.burst / const.PARTITIONS_PER_SERVICE,
        now=now,
    )
    return _Limit(bucket=bucket, claims=quota_claims.QuotaClaims())


def _find_received(
    received: _ReceivedState | None,
    entry: records.PartitionEntry,
    revision: ids.Revision,
    workspace: ids.Workspace,
) -> messages.LimitTokens | None:
    """Return what the last owner handed over of a limit, or None.

    Another document may have another rate or burst, so tokens that were
    counted under it are not continued.
    """
    if received is None or received.term != entry.term - 1:
        return None
    if received.quota.revision != revision:
        return None
    for tokens in received.quota.limits:
        if tokens.workspace == workspace:
            return tokens
    return None


def _count_tokens_of_earlier_term(
    now: float,
    entry: records.PartitionEntry,
    limit: _Limit,
    received: messages.LimitTokens | None,
) -> None:
    """Continue the bucket of the previous term, or keep the new one empty.

    A planned hand-over has no wait, so tokens of the previous owner may still
    be spent. If it has not told how many, it may have granted its whole share
    just before. A claim of a partition waits longer than the lifetime of the
    tokens.
    """
    if entry.term == 1 or entry.wait_s >= _GRANT_LIFETIME_S:
        return
    expires_at = now + _GRANT_LIFETIME_S
    level, outstanding = 0.0, limit.bucket.share
    if received is None:
        limit.usable_at = expires_at
    else:
        level, outstanding = received.level, received.outstanding
    limit.bucket.take_over(
        0, level=level, outstanding=outstanding, expires_at=expires_at
    )


def _apply_document(
    now: float,
    state: _Partition,
    revision: ids.Revision,
    workspaces: dict[ids.Workspace, document.WorkspaceSpec],
    is_prompt: bool,
) -> None:
    """Apply another document to the buckets of a partition."""
    # A skipped document may have had a smaller burst or rate, so the tokens
    # collected meanwhile may be too many.
    has_skipped_documents = revision != state.revision + 1
    state.revision = revision
    for workspace, limit in list(state.limits.items()):
        spec = workspaces.get(workspace)
        rate, burst = (spec.rate, spec.burst) if spec else (0.0, 0.0)
        limit.bucket.change(
            rate=rate / const.PARTITIONS_PER_SERVICE,
            share=burst / const.PARTITIONS_PER_SERVICE,
            now=now,
            is_prompt=is_prompt,
        )
        if has_skipped_documents:
            limit.bucket.empty()
        if spec is None and limit.bucket.outstanding <= 0.0:
            del state.limits[workspace]
    for workspace, spec in workspaces.items():
        if workspace not in state.limits:
            state.limits[workspace] = _create_limit(now, spec)
