"""What daemons tell each other of requests that crash upstreams.

Reports of ends go to the daemons that count for all, again until each of them
has confirmed. Verdicts go to every daemon: at once over all connections, and
later wherever the digests in the answers to pings differ.
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

# A report without confirmation is sent again after this time, in seconds; a
# slow VM takes about a second.
RESEND_S: Final = 1.0
# A daemon whose digest stays another one is asked again after this time, in
# seconds.
ASK_AGAIN_S: Final = 2.0


class _Told:
    """What a daemon was told over one connection."""

    def __init__(self, connection: int, records: Iterable[str]) -> None:
        self.connection = connection
        # Records that it has not confirmed, and when they were sent.
        self.pending: dict[str, float] = dict.fromkeys(records, -RESEND_S)
        # Digests for which verdicts were exchanged, and when.
        self.asked: tuple[int, int] = 0, 0
        self.asked_at = -ASK_AGAIN_S


class CrashExchange:
    """Gathers reports and spreads verdicts."""

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
        """Take the parts.

        Args:
            clock: Monotonic time, and the time of day for the store.
            daemon_id: This daemon.
            service: Service of the own upstream.
            counts: Ends and verdicts.
            log: Log lines.
            metrics: Counters.
            on_own: Called with an end of the own upstream, to keep it.
            on_verdicts: Sends verdicts to all daemons.
        """
        self._clock = clock
        self._daemon_id = daemon_id
        self._service = service
        self._counts = counts
        self._log = log
        self._metrics = metrics
        self._on_own = on_own
        self._on_verdicts = on_verdicts
        self._told: dict[ids.DaemonId, _Told] = {}

    @property
    def digest(self) -> int:
        """Return a number that is the same where the verdicts are."""
        return self._counts.digest

    def report(
        self, upstream: fleet.UpstreamStart, suspects: list[crash.Suspect]
    ) -> None:
        """Take the end of the own upstream."""
        ended_at = self._clock.wall()
        record = crash.CrashRecord(
            record_id=f'{self._daemon_id}/{upstream.instance_id}'
            f'/{int(ended_at * 1000)}',
            service=self._service,
            ended_at=ended_at,
            suspects=tuple(suspects),
        )
        self._metrics.count('crash', self._service, 'own')
        self._on_own(record)
        self._add(record, 0.0, 'own')

    def load(self, records: Iterable[crash.CrashRecord]) -> None:
        """Take the ends that the store keeps."""
        now = self._clock.wall()
        for record in sorted(records, key=lambda item: item.ended_at):
            self._add(record, now - record.ended_at, 'store')

    def take_report(
        self, message: frames.CrashReport, sender: str | None
    ) -> frames.CrashSeen:
        """Take an end that another daemon tells; return the confirmation."""
        self.take_seen(message, sender)
        ended_at = self._clock.wall() - message.age_s
        self._add(_record_of(message, ended_at), message.age_s, sender or '')
        return frames.CrashSeen(record_id=message.record_id)

    def take_seen(
        self,
        message: frames.CrashSeen | frames.CrashReport,
        sender: str | None,
    ) -> None:
        """Take that a daemon has a report."""
        told = self._told.get(ids.DaemonId(sender or ''))
        if told is not None:
            told.pending.pop(message.record_id, None)

    def take_verdicts(
        self, message: frames.Verdicts, sender: str | None
    ) -> frames.Verdicts | None:
        """Take what another daemon refuses; return what it lacks, if asked."""
        news = self._counts.merge(
            crash.Verdict(
                fingerprint=ids.Fingerprint(fingerprint),
                round=number,
                left_s=left_s,
            )
            for fingerprint, number, left_s in message.rows
        )
        self._spread(news, sender or '')
        return self._verdicts() if message.wants_reply else None

    def tick(self, links: Iterable[peer_link.PeerLink]) -> None:
        """Send reports to the daemons that count.

        Args:
            links: Connections to these.
        """
        now = self._clock.monotonic()
        told = {}
        for link in links:
            if link.is_open:
                told[link.member.daemon_id] = self._told_to(link)
                self._send_pending(link, now)
        self._told = told

    def compare(self, link: peer_link.PeerLink, digest: int) -> None:
        """Exchange verdicts with a daemon whose digest is another one."""
        own = self._counts.digest
        if digest == own:
            return
        now = self._clock.monotonic()
        told = self._told_to(link)
        if told.asked == (own, digest) and now - told.asked_at < ASK_AGAIN_S:
            return
        told.asked, told.asked_at = (own, digest), now
        link.send(self._verdicts(wants_reply=True))

    def _add(
        self, record: crash.CrashRecord, age_s: float, source: str
    ) -> None:
        if self._counts.knows(record.record_id):
            return
        verdicts = self._counts.add(record, age_s)
        for daemon_id, told in self._told.items():
            if daemon_id != source:
                told.pending[record.record_id] = -RESEND_S
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
        self._spread(verdicts, source)

    def _spread(self, verdicts: list[crash.Verdict], source: str) -> None:
        """Pass on which requests are refused from now on."""
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
        self._on_verdicts(frames.Verdicts(rows=_rows_of(verdicts)))

    def _verdicts(self, *, wants_reply: bool = False) -> frames.Verdicts:
        return frames.Verdicts(
            rows=_rows_of(self._counts.verdicts), wants_reply=wants_reply
        )

    def _told_to(self, link: peer_link.PeerLink) -> _Told:
        """Return what was told over the present connection of a link."""
        daemon_id = link.member.daemon_id
        told = self._told.get(daemon_id)
        if told is None or told.connection != link.connection_count:
            told = self._told[daemon_id] = _Told(
                link.connection_count,
                [record.record_id for record in self._counts.records],
            )
        return told

    def _send_pending(self, link: peer_link.PeerLink, now: float) -> None:
        told = self._told_to(link)
        due = [
            record_id
            for record_id, sent_at in told.pending.items()
            if now - sent_at >= RESEND_S
        ]
        if not due:
            return
        records = {item.record_id: item for item in self._counts.records}
        for record_id in due:
            record = records.get(record_id)
            if record is None:
                del told.pending[record_id]
                continue
            told.pending[record_id] = now
            link.send(_message_of(record, self._counts.age_s(record_id)))


def _rows_of(
    verdicts: Iterable[crash.Verdict],
) -> list[tuple[str, int, float]]:
    return [
        (verdict.fingerprint, verdict.round, verdict.left_s)
        for verdict in verdicts
    ]


def _record_of(
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


def _message_of(record: crash.CrashRecord, age_s: float) -> frames.CrashReport:
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
