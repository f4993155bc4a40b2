"""Follows the store, directly and through other daemons."""

import asyncio
from collections.abc import Callable, Coroutine
import random as random_module
from typing import Any, Final

import xxhash

from sassafraswood import clock as clock_module
from sassafraswood.coordination import store_knowledge
from sassafraswood import exceptions
from sassafraswood.models import fleet
from sassafraswood.models import ids
from sassafraswood.models import traffic
from sassafraswood.platform import members as member_records
from sassafraswood.platform import rules as rule_documents
from sassafraswood.platform import store as store_module
from sassafraswood.protocol import frames
from sassafraswood.sidecar import peers as peers_module
from sassafraswood.transport import json_log

# Daemons that read the store for all; the loss of two at once leaves one.
READERS: Final = 3
# A reader's read ends without records after this time in seconds; its
# knowledge is never older than that and one answer.
READ_WAIT_S: Final = 0.7
# A daemon reads the store itself when its knowledge is older than this, in
# seconds; new rules then are in force within the usual bound of 2 s.
SELF_READ_AGE_S: Final = 1.4
POLL_S: Final = 0.1
# Pause after a failed call, in seconds, and its random part.
FAILURE_PAUSE_S: Final = 0.2
FAILURE_JITTER_S: Final = 0.2


class Follower:
    """Keeps the newest rules and the records of members.

    A few daemons wait for new records at the store; all others learn of
    them from these, and ask the store themselves when they hear too little.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        random: random_module.Random,
        own: fleet.Member,
        store: store_module.StoreClient,
        knowledge: store_knowledge.StoreKnowledge,
        log: json_log.JsonLog,
        on_rules: Callable[[traffic.TrafficRules], None],
        on_members: Callable[[list[fleet.Member]], None],
        on_registered: Callable[[bool], None],
        on_news: Callable[[], None],
        is_reachable: Callable[[ids.DaemonId], bool],
    ) -> None:
        """Take the parts.

        Args:
            clock: Counts time while the VM is suspended.
            random: Spreads calls after failures.
            own: This daemon's record.
            store: Client of the store.
            knowledge: Where the age of what is known is kept.
            log: Log lines.
            on_rules: Called with rules that are newer.
            on_members: Called with all members after a change.
            on_registered: Called once this daemon is a member, with whether
                it was one before it started.
            on_news: Called after something new was read from the store.
            is_reachable: Whether another daemon can be reached.
        """
        self._clock = clock
        self._random = random
        self._own = own
        self._store = store
        self._knowledge = knowledge
        self._log = log
        self._on_rules = on_rules
        self._on_members = on_members
        self._on_registered = on_registered
        self._on_news = on_news
        self._is_reachable = is_reachable
        self._rules_document: frames.RulesDocument | None = None
        self._rules_offset: int | None = None
        self._rows: dict[str, bytes] = {}
        self._members: list[fleet.Member] = []
        self._is_registered = False
        self._tasks: list[asyncio.Task[None]] = []
        self._failures: dict[str, int] = {}

    # Documents for other daemons.

    def rules_document(self) -> frames.RulesDocument | None:
        """Return the rules in force."""
        return self._rules_document

    def members_document(self) -> frames.MembersDocument:
        """Return the records of members."""
        return frames.MembersDocument(
            end=self._knowledge.members_end, rows=list(self._rows.items())
        )

    def take_rules(self, document: frames.RulesDocument) -> None:
        """Take rules of another daemon."""
        if document.version <= self._knowledge.rules_version:
            return
        try:
            text = peers_module.decompress(document.document)
            self._apply_rules(text, -float('inf'))
        except exceptions.DecodeError as error:
            self._log.change('rules_rejected', source='peer', error=str(error))

    def take_members(self, document: frames.MembersDocument) -> None:
        """Take the records of another daemon."""
        if document.end <= self._knowledge.members_end:
            return
        self._rows = dict(document.rows)
        self._knowledge.note_members(document.end, -float('inf'))
        self._publish_members()

    # Reading.

    def start(self) -> None:
        """Begin to follow the store."""
        self._spawn(self._async_follow('rules', self._async_read_rules))
        self._spawn(self._async_follow('members', self._async_read_members))

    def stop(self) -> None:
        """End following."""
        for task in self._tasks:
            task.cancel()

    @property
    def is_reader(self) -> bool:
        """Return whether this daemon waits at the store for all."""
        ahead = 0
        own_rank = _rank(self._own.daemon_id)
        for member in self._members:
            if _rank(member.daemon_id) < own_rank and self._is_reachable(
                member.daemon_id
            ):
                ahead += 1
        return ahead < READERS

    def _spawn(self, routine: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(routine))

    async def _async_follow(
        self, name: str, read: Callable[[float], Coroutine[Any, Any, None]]
    ) -> None:
        while True:
            wait_s = self._next_wait_s(name)
            if wait_s is None:
                await asyncio.sleep(POLL_S)
                continue
            try:
                await read(wait_s)
            except exceptions.LogRetentionError:
                self._forget_offset(name)
                continue
            except (exceptions.LogError, exceptions.DecodeError) as error:
                self._note_failure(name, error)
                await asyncio.sleep(
                    FAILURE_PAUSE_S + FAILURE_JITTER_S * self._random.random()
                )
                continue
            if self._failures.pop(name, 0):
                self._log.change('store_regained', reading=name)

    def _next_wait_s(self, name: str) -> float | None:
        """Return how long the next read waits; None if there is none."""
        if name == 'rules':
            is_known = self._knowledge.rules_version >= 0
            age_s = self._knowledge.rules_age_s
        else:
            is_known = self._is_registered
            age_s = self._knowledge.members_age_s
        if not is_known:
            return 0.0
        if self.is_reader:
            return READ_WAIT_S
        return 0.0 if age_s > SELF_READ_AGE_S else None

    def _note_failure(
        self, name: str, error: exceptions.SassafraswoodError
    ) -> None:
        self._failures[name] = self._failures.get(name, 0) + 1
        if self._failures[name] == 1:
            self._log.change('store_lost', reading=name, error=str(error))

    def _forget_offset(self, name: str) -> None:
        self._log.change('store_history_gone', reading=name)
        if name == 'rules':
            self._rules_offset = None
        else:
            self._knowledge.members_end = -1

    async def _async_read_rules(self, wait_s: float) -> None:
        started_at = self._clock.monotonic()
        topic = store_module.RULES_TOPIC
        if self._rules_offset is None:
            page = await self._store.async_newest(topic)
        else:
            page = await self._store.async_read(
                topic, self._rules_offset, wait_s
            )
        newest = None
        for record in page.records:
            if record.key == store_module.RULES_KEY:
                newest = record
        if newest is not None:
            self._apply_rules(newest.value, started_at)
            self._on_news()
        elif self._knowledge.rules_version >= 0:
            # An empty read is answered at the end of its waiting time.
            waited_s = 0.0 if page.records else wait_s
            if self._rules_offset is not None:
                self._knowledge.note_rules(
                    self._knowledge.rules_version, started_at + waited_s
                )
        else:
            await asyncio.sleep(POLL_S)
        self._rules_offset = page.next_offset

    def _apply_rules(self, document: bytes, as_of: float) -> None:
        rules = rule_documents.decode(document)
        if rules.version <= self._knowledge.rules_version:
            self._knowledge.note_rules(rules.version, as_of)
            return
        self._knowledge.note_rules(rules.version, as_of)
        self._rules_document = frames.RulesDocument(
            version=rules.version, document=peers_module.compress(document)
        )
        self._log.change(
            'rules_in_force',
            version=rules.version,
            routes=len(rules.routes),
            workspaces=len(rules.workspaces),
            from_store=as_of > 0,
        )
        self._on_rules(rules)

    async def _async_read_members(self, wait_s: float) -> None:
        started_at = self._clock.monotonic()
        topic = member_records.TOPIC
        if not self._is_registered or self._knowledge.members_end < 0:
            page = await self._store.async_newest(topic)
            if page.next_offset >= self._knowledge.members_end:
                self._rows = {}
        else:
            page = await self._store.async_read(
                topic, self._knowledge.members_end, wait_s
            )
        if page.next_offset < self._knowledge.members_end:
            return
        for record in page.records:
            # The newest record of an address stands last.
            self._rows.pop(record.key, None)
            if record.value:
                self._rows[record.key] = record.value
        waited_s = 0.0 if page.records else wait_s
        self._knowledge.note_members(page.next_offset, started_at + waited_s)
        if not self._is_registered or page.records:
            self._publish_members()
        if page.records:
            self._on_news()
        await self._async_register()

    async def _async_register(self) -> None:
        """Write the own record if it is missing or differs."""
        value = member_records.encode(self._own)
        found = self._rows.get(self._own.daemon_id)
        if found == value:
            if not self._is_registered:
                self._is_registered = True
                self._on_registered(True)
            return
        await self._store.async_append(
            member_records.TOPIC,
            store_module.StoredRecord(key=self._own.daemon_id, value=value),
        )
        self._log.change('registered', offset=self._knowledge.members_end)
        self._rows[self._own.daemon_id] = value
        self._is_registered = True
        self._on_registered(False)

    def _publish_members(self) -> None:
        by_address: dict[tuple[str, int], fleet.Member] = {}
        for key, value in self._rows.items():
            try:
                member = member_records.decode(key, value)
                by_address[member.address] = member
            except exceptions.DecodeError as error:
                self._log.change('member_rejected', key=key, error=str(error))
        members = list(by_address.values())
        self._members = members
        self._log.change(
            'members', count=len(members), end=self._knowledge.members_end
        )
        self._on_members(members)


def _rank(daemon_id: ids.DaemonId) -> int:
    return xxhash.xxh64_intdigest(daemon_id.encode())
