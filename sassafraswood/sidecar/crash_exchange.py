"""Exchange of crash reports and quarantine verdicts between daemons.

A report of a crashed upstream goes to the daemons that count crashes for the
whole system and is resent until each of them confirms it. A verdict, which
quarantines a request fingerprint, goes to every daemon: at once over all
connections, and later to each peer whose digest in a pong differs.
"""

from collections.abc import Callable, Iterable
from typing import Final

from sassafraswood import clock as clock_module
from sassafraswood.coordination import crash_counts
from sassafraswood.models import crash
from sassafraswood.models import fleet
from sassafraswood.models import ids
from sassafraswood.protocol import frames
from sassafraswood.sidecar import measures
from sassafraswood.sidecar import peer_link
from sassafraswood.transport import json_log

# A report that is not confirmed is resent after this time; a slow VM takes
# about 1 s to reply.
RESEND_INTERVAL_S: Final = 1.0
# Verdicts are exchanged again after this time with a peer whose digest still
# differs.
EXCHANGE_RETRY_S: Final = 2.0


class _PeerState:
    """What was sent to a peer over one connection.

    Attributes:
        connection_number: Number of the connection on its link.
        pending: Ids of the reports that the peer has not confirmed, with the
            time when each was sent; as all times here, monotonic time in
            seconds.
        digests: Own and peer digest for which verdicts were exchanged last.
        exchanged_at: When verdicts were exchanged last.
    """

    def __init__(self, connection_number: int, records: Iterable[str]) -> None:
        self.connection_number = connection_number
        self.pending: dict[str, float] = dict.fromkeys(
            records, -RESEND_INTERVAL_S
        )
        self.digests: tuple[int, int] = 0, 0
        self.exchanged_at = -EXCHANGE_RETRY_S


class CrashExchange:
    """Sends, receives and forwards crash reports and verdicts."""

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        daemon_id: ids.DaemonId,
        service: ids.ServiceName,
        counts: crash_counts.CrashCounts,
        log: json_log.JsonLog,
        metrics: measures.Measures,
        on_own: Callable[[crash.CrashRecord], None],
        on_verdicts: Callable[[frames.Verdicts], None],
    ) -> None:
        """Create the exchange without crashes.

        Args:
            clock: Monotonic time, and wall time for records in the store.
            daemon_id: Id of this daemon.
            service: Service of the local upstream.
            counts: Counts of crashes by fingerprint, and verdicts.
            log: Structured log.
            metrics: Counters.
            on_own: Called with each crash record of the local upstream, to
                store it.
            on_verdicts: Sends verdicts to all connected peers.
        """
        self._clock = clock
        self._daemon_id = daemon_id
        self._service = service
        self._counts = counts
        self._log = log
        self._metrics = metrics
        self._on_own = on_own
        self._on_verdicts = on_verdicts
        self._peer_states: dict[ids.DaemonId, _PeerState] = {}

    @property
    def digest(self) -> int:
        """Return a number that is equal on daemons with equal verdicts."""
        return self._counts.digest

    def report(
        self,
        upstream: fleet.UpstreamProcess,
        suspects: list[crash.Suspect],
        age_s: float = 0.0,
    ) -> None:
        """Record a crash of the local upstream.

        Args:
            upstream: Process of the upstream that crashed.
            suspects: Requests that it may have crashed on.
            age_s: Time since the crash in seconds.
        """
        ended_at = self._clock.wall() - age_s
        record = crash.CrashRecord(
            record_id=f'{self._daemon_id}/{upstream.instance_id}'
            f'/{int(ended_at * 1000)}',
            service=self._service,
            ended_at=ended_at,
            suspects=tuple(suspects),
        )
        self._metrics.count('crash', self._service, 'own')
        self._add(record, age_s, 'own')
        self._on_own(record)

    def load(self, records: Iterable[crash.CrashRecord]) -> None:
        """Add the crash records that were read from the store."""
        now = self._clock.wall()
        for record in sorted(records, key=lambda item: item.ended_at):
            self._add(record, now - record.ended_at, 'store')

    def handle_report(
        self, message: frames.CrashReport, sender: str | None
    ) -> frames.CrashConfirmation:
        """Add a crash that a peer reports; return the confirmation."""
        self.handle_confirmation(message, sender)
        ended_at = self._clock.wall() - message.age_s
        self._add(
            _parse_report(message, ended_at), message.age_s, sender or ''
        )
        return frames.CrashConfirmation(record_id=message.record_id)

    def handle_confirmation(
        self,
        message: frames.CrashConfirmation | frames.CrashReport,
        sender: str | None,
    ) -> None:
        """Mark a report as received by a peer, so that it is not resent."""
        state = self._peer_states.get(ids.DaemonId(sender or ''))
        if state is not None:
            state.pending.pop(message.record_id, None)

    def handle_verdicts(
        self, message: frames.Verdicts, sender: str | None
    ) -> frames.Verdicts | None:
        """Merge the verdicts of a peer; return the own ones if requested."""
        new_verdicts = self._counts.merge(
            crash.Verdict(
                fingerprint=ids.Fingerprint(fingerprint),
                round=round_number,
                left_s=left_s,
            )
            for fingerprint, round_number, left_s in message.rows
        )
        self._announce(new_verdicts, sender or '')
        return self._build_verdicts() if message.wants_reply else None

    def tick(self, links: Iterable[peer_link.PeerLink]) -> None:
        """Send pending reports to the peers that count crashes.

        Args:
            links: Links to these peers.
        """
        now = self._clock.monotonic()
        states = {}
        for link in links:
            if link.is_open:
                states[link.member.daemon_id] = self._peer_state(link)
                self._send_pending(link, now)
        self._peer_states = states

    def compare(self, link: peer_link.PeerLink, digest: int) -> None:
        """Start to exchange verdicts with a peer whose digest differs."""
        own = self._counts.digest
        if digest == own:
            return
        now = self._clock.monotonic()
        state = self._peer_state(link)
        if (
            state.digests == (own, digest)
            and now - state.exchanged_at < EXCHANGE_RETRY_S
        ):
            return
        state.digests, state.exchanged_at = (own, digest), now
        link.send(self._build_verdicts(wants_reply=True))

    def _add(
        self, record: crash.CrashRecord, age_s: float, source: str
    ) -> None:
        if self._counts.has_record(record.record_id):
            return
        verdicts = self._counts.add(record, age_s)
        for daemon_id, state in self._peer_states.items():
            if daemon_id != source:
                state.pending[record.record_id] = -RESEND_INTERVAL_S
        self._log.decision(
            'crash_counted',
            record=record.record_id,
            source=source,
            service=record.service,
            age_s=round(age_s, 3),
            suspects={
                suspect.fingerprint: self._counts.count(suspect.fingerprint)
                for suspect in record.suspects
                if self._counts.count(suspect.fingerprint) > 1
            },
        )
        self._announce(verdicts, source)

    def _announce(self, verdicts: list[crash.Verdict], source: str) -> None:
        """Log new verdicts and send them to all connected peers."""
        if not verdicts:
            return
        self._metrics.count('verdicts', self._service, 'learnt')
        self._log.change(
            'requests_quarantined',
            source=source,
            verdicts=[
                {
                    'fingerprint': verdict.fingerprint,
                    'round': verdict.round,
                    'left_s': round(verdict.left_s, 1),
                }
                for verdict in verdicts
            ],
        )
        self._on_verdicts(frames.Verdicts(rows=_build_rows(verdicts)))

    def _build_verdicts(self, *, wants_reply: bool = False) -> frames.Verdicts:
        return frames.Verdicts(
            rows=_build_rows(self._counts.verdicts), wants_reply=wants_reply
        )

    def _peer_state(self, link: peer_link.PeerLink) -> _PeerState:
        """Return the state of the current connection of a link."""
        daemon_id = link.member.daemon_id
        state = self._peer_states.get(daemon_id)
        if state is None or state.connection_number != link.connection_count:
            state = self._peer_states[daemon_id] = _PeerState(
                link.connection_count,
                [record.record_id for record in self._counts.records],
            )
        return state

    def _send_pending(self, link: peer_link.PeerLink, now: float) -> None:
        state = self._peer_state(link)
        due = [
            record_id
            for record_id, sent_at in state.pending.items()
            if now - sent_at >= RESEND_INTERVAL_S
        ]
        if not due:
            return
        records = {item.record_id: item for item in self._counts.records}
        for record_id in due:
            record = records.get(record_id)
            if record is None:
                del state.pending[record_id]
                continue
            state.pending[record_id] = now
            link.send(_build_report(record, self._counts.age_s(record_id)))


def _build_rows(
    verdicts: Iterable[crash.Verdict],
) -> list[tuple[str, int, float]]:
    return [
        (verdict.fingerprint, verdict.round, verdict.left_s)
        for verdict in verdicts
    ]


def _parse_report(
    message: frames.CrashReport, ended_at: float
) -> crash.CrashRecord:
    return crash.CrashRecord(
        record_id=message.record_id,
        service=ids.ServiceName(message.service),
        ended_at=ended_at,
        suspects=tuple(
            crash.Suspect(
                fingerprint=ids.Fingerprint(fingerprint),
                rate_per_s=rate_per_s,
                age_s=age_s,
                is_repeat=is_repeat,
            )
            for fingerprint, rate_per_s, age_s, is_repeat in message.suspects
        ),
    )


def _build_report(
    record: crash.CrashRecord, age_s: float
) -> frames.CrashReport:
    return frames.CrashReport(
        record_id=record.record_id,
        service=record.service,
        age_s=age_s,
        suspects=[
            (
                suspect.fingerprint,
                suspect.rate_per_s,
                suspect.age_s,
                suspect.is_repeat,
            )
            for suspect in record.suspects
        ],
    )
