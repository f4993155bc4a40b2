"""State machine of the log: documents, keys, partitions and members."""

from collections.abc import Callable
from collections.abc import Sequence
import hashlib
import hmac
import re
import typing

import msgspec

from sassafraswood import const
from sassafraswood import exceptions
from sassafraswood.models import document
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import records
from sassafraswood.state import documents
from sassafraswood.state import keys
from sassafraswood.state import members
from sassafraswood.state import publications
from sassafraswood.state import recent_entries

_NAME: typing.Final = re.compile(const.NAME_PATTERN)
_SHA256: typing.Final = re.compile('[0-9a-f]{64}')
_Status = enums.PublicationStatus


PartitionRecord = (
    records.ClaimPartition | records.TransferPartition | records.ChangeGuardian
)


class PartitionStateMachine(typing.Protocol):
    """Table of partitions, to which their records are applied."""

    def apply(self, record: PartitionRecord, offset: ids.Offset) -> bool:
        """Apply a record; return whether it was accepted."""

    def get(
        self, service: ids.ServiceName, partition: int
    ) -> records.PartitionEntry | None:
        """Return a partition, or None if it was never claimed."""

    def entries(self) -> list[records.PartitionEntry]:
        """Return all partitions."""

    def restore(self, entries: list[records.PartitionEntry]) -> None:
        """Replace all partitions."""


class Configuration:
    """State that results from the log, applied in the order of offsets.

    Applying entries is deterministic and uses neither a clock nor settings.
    Daemons that have applied the log up to the same offset therefore have
    the same state, whether the entries came from the log, from peers or as a
    snapshot.
    """

    def __init__(
        self,
        *,
        decode: Callable[[str], records.Record],
        check_document: Callable[[dict], document.ServiceDocument],
        partitions: PartitionStateMachine,
    ) -> None:
        """Initialize the state before the first record.

        Args:
            decode: Decodes the body of an entry; raises DecodeError if it is
                not a known record.
            check_document: Validates a document; raises DocumentError if it
                is invalid.
            partitions: An empty table that only this object changes.
        """
        self._decode = decode
        self._check_document = check_document
        self._partitions = partitions
        self._documents = documents.DocumentTable()
        self._keys = keys.KeyTable()
        self._members = members.MemberTable()
        self._publications = publications.PublicationTable(
            const.MAX_PUBLICATION_RESULTS
        )
        self._quarantines: dict[
            ids.Fingerprint, records.QuarantineFingerprint
        ] = {}
        self._recent_entries = recent_entries.RecentEntries(
            max_entries=const.MAX_RECENT_ENTRIES,
            max_bytes=const.MAX_RECENT_ENTRY_BYTES,
        )

    @property
    def next_offset(self) -> ids.Offset:
        """Return the offset of the next entry to apply."""
        return self._documents.next_offset

    def apply(self, entry: records.LogEntry) -> records.Record | None:
        """Apply the next entry of the log.

        Entries that were applied before are ignored. Snapshots and bodies
        that cannot be decoded, such as records of newer versions, only
        advance the offset.

        Returns:
            The record if it changed the state in force, otherwise None. None
            is also returned for a refused publication; publication() gives
            its result.

        Raises:
            OffsetGapError: The offset is beyond next_offset; entries before
                this one are missing.
        """
        if entry.offset < self.next_offset:
            return None
        if entry.offset > self.next_offset:
            raise exceptions.OffsetGapError(self.next_offset, entry.offset)
        self._recent_entries.add(entry)
        self._documents.advance()
        try:
            record = self._decode(entry.body)
        except exceptions.DecodeError:
            return None
        return record if self._apply_record(record, entry.offset) else None

    def apply_snapshot(self, snapshot: records.Snapshot) -> bool:
        """Replace the state by that of a snapshot if it is newer.

        Returns:
            Whether the state was replaced. If so, next_offset is that of the
            snapshot.
        """
        if snapshot.next_offset <= self.next_offset:
            return False
        self._recent_entries.clear()
        self._documents.restore(snapshot.next_offset, snapshot.documents)
        self._keys.restore(snapshot.keys)
        self._members.restore(snapshot.members)
        self._partitions.restore(snapshot.partitions)
        self._publications.restore(snapshot.publications)
        self._quarantines = {
            record.fingerprint: record for record in snapshot.quarantines
        }
        return True

    def apply_newest_snapshot(
        self, entries: Sequence[records.LogEntry]
    ) -> bool:
        """Apply the newest usable snapshot record among entries.

        For a reader that has fallen behind the retention of the log. The
        entries must begin with the first one that the log still keeps. A
        snapshot of an earlier offset is not used, because the records that
        follow it are gone.

        Returns:
            Whether the state was replaced.
        """
        if not entries:
            return False
        newest = None
        for entry in entries:
            try:
                record = self._decode(entry.body)
            except exceptions.DecodeError:
                continue
            if not isinstance(record, records.Snapshot):
                continue
            if not entries[0].offset <= record.next_offset <= entry.offset:
                continue
            if newest is None or record.next_offset > newest.next_offset:
                newest = record
        return newest is not None and self.apply_snapshot(newest)

    def snapshot(self) -> records.Snapshot:
        """Return the state as of the next offset."""
        return records.Snapshot(
            next_offset=self.next_offset,
            documents=self._documents.entries(),
            keys=self._keys.entries(),
            members=self._members.entries(),
            partitions=self._partitions.entries(),
            publications=self._publications.entries(),
            quarantines=self.quarantines(),
        )

    def document(
        self, service: ids.ServiceName
    ) -> records.DocumentEntry | None:
        """Return the document in force of a service, or None."""
        return self._documents.get(service)

    def documents(self) -> list[records.DocumentEntry]:
        """Return all documents in force."""
        return self._documents.entries()

    def find_key(self, presented: str) -> records.KeyEntry | None:
        """Return the entry of a key that a caller presents, or None.

        The entry of a withdrawn key is returned as well, so that a withdrawn
        key can be told from an unknown one; whoever calls this must check
        its `withdrawn`. Misses are not cached, so a key is valid as soon as
        its grant is applied.
        """
        digest = hashlib.sha256(
            presented.encode('utf-8', 'surrogatepass')
        ).hexdigest()
        entry = self._keys.find(digest)
        if entry is None or not hmac.compare_digest(entry.key_sha256, digest):
            return None
        return entry

    def is_key_valid(self, key_id: ids.KeyId) -> bool:
        """Return whether a key was granted and has not been withdrawn."""
        entry = self._keys.get(key_id)
        return entry is not None and not entry.withdrawn

    def publication(
        self, publication_id: ids.PublicationId
    ) -> records.PublicationEntry | None:
        """Return the result of a publication, or None if it is unknown."""
        return self._publications.get(publication_id)

    def partition(
        self, service: ids.ServiceName, partition: int
    ) -> records.PartitionEntry | None:
        """Return a partition of a service, or None if it was never claimed."""
        return self._partitions.get(service, partition)

    def members(self) -> list[records.Member]:
        """Return the members that are present according to the log."""
        return self._members.present()

    def quarantines(self) -> list[records.QuarantineFingerprint]:
        """Return all quarantines, including those that have ended."""
        return list(self._quarantines.values())

    def entries_from(
        self, offset: ids.Offset
    ) -> list[records.LogEntry] | None:
        """Return the applied entries from an offset on.

        Returns:
            The entries up to next_offset, or None if some of them are no
            longer kept.
        """
        return self._recent_entries.since(offset, self.next_offset)

    def _apply_record(
        self, record: records.Record, offset: ids.Offset
    ) -> bool:
        match record:
            case records.Publish():
                return self._apply_publication(
                    record, lambda: self._publish(record, offset)
                )
            case records.GrantKey():
                return self._apply_publication(
                    record, lambda: self._grant_key(record)
                )
            case records.WithdrawKey():
                return self._apply_publication(
                    record, lambda: self._withdraw_key(record)
                )
            case records.Announce():
                is_changed = self._members.merge(record.member)
                self._members.trim(const.MAX_LOGGED_MEMBERS)
                return is_changed
            case records.Leave():
                left = self._members.leave(
                    record.daemon_id, record.incarnation
                )
                return left is not None
            case records.QuarantineFingerprint():
                return self._apply_quarantine(record)
            case records.Snapshot():
                return False
            case _:
                return self._partitions.apply(record, offset)

    def _apply_publication(
        self,
        record: records.Publish | records.GrantKey | records.WithdrawKey,
        apply_new: Callable[[], records.PublicationEntry],
    ) -> bool:
        """Apply a publication unless one with the same id was applied before.

        Returns:
            Whether the publication was accepted.
        """
        publication_id = record.publication_id
        length = len(publication_id)
        if not 1 <= length <= const.MAX_PUBLICATION_ID_CHARACTERS:
            return False
        if self._publications.get(publication_id) is not None:
            return False
        entry = apply_new()
        self._publications.add(entry)
        return entry.status is _Status.ACCEPTED

    def _publish(
        self, record: records.Publish, offset: ids.Offset
    ) -> records.PublicationEntry:
        in_force = self._documents.revision(record.service)
        try:
            checked = self._check_document(record.document)
        except exceptions.DocumentError as error:
            return _make_result(record, _Status.INVALID, in_force, str(error))
        if checked.service != record.service:
            return _make_result(
                record,
                _Status.INVALID,
                in_force,
                f'$.service: found {checked.service!a}, allowed the service '
                f'of the publication, {record.service!a}',
            )
        if record.replaces != in_force:
            return _make_result(
                record,
                _Status.CONFLICT,
                in_force,
                f'replaces revision {record.replaces}, but revision '
                f'{in_force} is in force',
            )
        revision = ids.Revision(in_force + 1)
        self._documents.put(
            records.DocumentEntry(
                service=record.service,
                revision=revision,
                offset=offset,
                document=checked,
            )
        )
        return _make_result(record, _Status.ACCEPTED, revision, '')

    def _grant_key(self, record: records.GrantKey) -> records.PublicationEntry:
        problem = _find_key_problem(record)
        if problem:
            return _make_result(record, _Status.INVALID, 0, problem)
        known = self._keys.get(record.key_id)
        if known is not None:
            state = 'withdrawn' if known.withdrawn else 'granted'
            return _make_result(
                record, _Status.CONFLICT, 0, f'key id was {state} before'
            )
        # A withdrawn key may have been stolen, so it is refused as well.
        if self._keys.find(record.key_sha256) is not None:
            return _make_result(
                record, _Status.CONFLICT, 0, 'key has another key id'
            )
        self._keys.put(
            records.KeyEntry(
                key_id=record.key_id,
                workspace=record.workspace,
                key_sha256=record.key_sha256,
                withdrawn=False,
            )
        )
        return _make_result(record, _Status.ACCEPTED, 0, '')

    def _withdraw_key(
        self, record: records.WithdrawKey
    ) -> records.PublicationEntry:
        known = self._keys.get(record.key_id)
        if known is None:
            return _make_result(
                record, _Status.CONFLICT, 0, 'key id was never granted'
            )
        # Withdrawing is idempotent: a second withdrawal is accepted too.
        self._keys.put(msgspec.structs.replace(known, withdrawn=True))
        return _make_result(record, _Status.ACCEPTED, 0, '')

    def _apply_quarantine(self, record: records.QuarantineFingerprint) -> bool:
        known = self._quarantines.pop(record.fingerprint, None)
        is_longer = known is None or record.until_unix_s > known.until_unix_s
        if known is not None and not is_longer:
            self._quarantines[record.fingerprint] = known
            return False
        self._quarantines[record.fingerprint] = record
        if len(self._quarantines) > const.MAX_QUARANTINES:
            del self._quarantines[next(iter(self._quarantines))]
        return True


def _make_result(
    record: records.Publish | records.GrantKey | records.WithdrawKey,
    status: enums.PublicationStatus,
    revision: int,
    detail: str,
) -> records.PublicationEntry:
    return records.PublicationEntry(
        publication_id=record.publication_id,
        status=status,
        revision=ids.Revision(revision),
        detail=detail[: const.MAX_PUBLICATION_DETAIL_CHARACTERS],
    )


def _find_key_problem(record: records.GrantKey) -> str:
    if not _NAME.fullmatch(record.key_id):
        return 'key id is no name'
    if not _NAME.fullmatch(record.workspace):
        return 'workspace is no name'
    if not _SHA256.fullmatch(record.key_sha256):
        return 'key hash is not 64 lower-case hexadecimal digits'
    return ''
