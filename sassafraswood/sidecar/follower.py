"""Follows the store, directly and through other daemons."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable
import math
import random as random_module
from typing import Any, Final

from sassafraswood import clock as clock_module
from sassafraswood.coordination import peer_plan
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
# A reader whose last answer is older than this, in seconds, does not count as
# one; a slow store takes 0.4 s.
READER_AGE_S: Final = READ_WAIT_S + 0.5
# A daemon reads the store itself when its knowledge is older than this share
# of the time in which new rules have to be in force.
SELF_READ_SHARE: Final = 0.7
POLL_S: Final = 0.1
# Records that are written one after the other are read together after this
# time in seconds, a twentieth of the time until rules have to be in force.
GATHER_S: Final = 0.1
# First and longest pause after a failed call, in seconds, and its random part
# as a share. Readers go on soon, for all others depend on them.
FAILURE_PAUSE_S: Final = 0.2
FAILURE_PAUSE_MAX_S: Final = 2.0
READER_PAUSE_MAX_S: Final = 0.4
FAILURE_JITTER: Final = 1.0
# Records of members that are kept to pass on what is new.
MAX_HISTORY: Final = 4096


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
        plan: peer_plan.PeerPlan,
        is_reading: Callable[[ids.DaemonId], bool],
        apply_s: float,
    ) -> None:
        """Take the parts.

        Args:
            clock: Counts time while the VM is suspended.
            random: Spreads calls after failures.
            own: This daemon's record.
            store: Client of the store.
            knowledge: Where the age of what is known is kept.
            log: Log lines.
            plan: Tells which daemons may have to read the store.
            is_reading: Whether another daemon reads the store.
            apply_s: Time in which new rules have to be in force, in seconds.
            on_rules: Called with rules that are newer.
            on_members: Called with all members after a change.
            on_registered: Called once this daemon is a member, with whether
                it was one before it started.
            on_news: Called when something new is known.
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
        self._plan = plan
        self._is_reading = is_reading
        self._self_read_age_s = SELF_READ_SHARE * apply_s
        self._rules_document: frames.RulesDocument | None = None
        self._rules_offset: int | None = None
        self._rows: dict[str, bytes] = {}
        self._history: list[tuple[str, bytes]] = []
        self._read_at: dict[str, float] = {}
        self._is_registered = False
        self._tasks: list[asyncio.Task[None]] = []
        self._failures: dict[str, int] = {}

    # Documents for other daemons.

    def rules_document(self) -> frames.RulesDocument | None:
        """Return the rules in force."""
        return self._rules_document

    def members_document(self, start: int) -> frames.MembersDocument:
        """Return the records of members from an offset."""
        end = self._knowledge.members_end
        missing = end - start
        if start < 0 or not 0 <= missing <= len(self._history):
            return frames.MembersDocument(
                start=-1, end=end, rows=list(self._rows.items())
            )
        rows = self._history[len(self._history) - missing :]
        return frames.MembersDocument(start=start, end=end, rows=rows)

    def take_rules(self, document: frames.RulesDocument) -> None:
        """Take rules of another daemon."""
        if document.version <= self._knowledge.rules_version:
            return
        try:
            text = peers_module.decompress(document.document)
            self._apply_rules(text, -float('inf'))
        except exceptions.DecodeError as error:
            self._log.change('rules_rejected', source='peer', error=str(error))
            return
        self._on_news()

    def take_members(self, document: frames.MembersDocument) -> None:
        """Take the records of another daemon."""
        known = self._knowledge.members_end
        if document.end <= known or document.start > known:
            return
        if document.start < 0:
            self._replace_rows(document.rows)
        else:
            self._add_rows(document.rows[known - document.start :])
        self._knowledge.note_members(document.end, -float('inf'))
        self._publish_members()
        self._on_news()

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
        if not self._plan.is_in_reading_group:
            return False
        ahead = sum(self._is_reading(item) for item in self._plan.ahead)
        return ahead < READERS

    @property
    def reads_store(self) -> bool:
        """Return whether this daemon reads the store with success."""
        oldest = min(
            self._read_at.get('rules', -math.inf),
            self._read_at.get('members', -math.inf),
        )
        return self._clock.monotonic() - oldest < READER_AGE_S

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
                await asyncio.sleep(self._failure_pause_s(name))
                continue
            self._read_at[name] = self._clock.monotonic()
            if self._failures.pop(name, 0):
                self._log.change('store_regained', reading=name)

    def _next_wait_s(self, name: str) -> float | None:
        """Return how long the next read waits; None if there is none."""
        if name == 'rules':
            is_known = self._rules_offset is not None
            age_s = self._knowledge.rules_age_s
        else:
            is_known = self._is_registered
            age_s = self._knowledge.members_age_s
        if not is_known:
            return 0.0
        if self.is_reader or self._knowledge.rules_version < 0:
            return READ_WAIT_S
        return 0.0 if age_s > self._self_read_age_s else None

    def _failure_pause_s(self, name: str) -> float:
        longest_s = (
            READER_PAUSE_MAX_S if self.is_reader else FAILURE_PAUSE_MAX_S
        )
        doublings = min(8, self._failures[name] - 1)
        pause_s = min(longest_s, FAILURE_PAUSE_S * 2**doublings)
        return pause_s * (1.0 + FAILURE_JITTER * self._random.random())

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
            await asyncio.sleep(GATHER_S)
        elif self._knowledge.rules_version >= 0:
            # An empty read is answered at the end of its waiting time.
            waited_s = 0.0 if page.records else wait_s
            if self._rules_offset is not None:
                self._knowledge.note_rules(
                    self._knowledge.rules_version, started_at + waited_s
                )
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
        is_whole = not self._is_registered or self._knowledge.members_end < 0
        if is_whole:
            page = await self._store.async_newest(topic)
        else:
            page = await self._store.async_read(
                topic, self._knowledge.members_end, wait_s
            )
        rows = [(record.key, record.value) for record in page.records]
        known = self._knowledge.members_end
        if page.next_offset < known:
            return
        if is_whole:
            self._replace_rows(rows)
        else:
            # Other daemons may have told some of them meanwhile.
            self._add_rows(rows[len(rows) - (page.next_offset - known) :])
        waited_s = 0.0 if page.records else wait_s
        self._knowledge.note_members(page.next_offset, started_at + waited_s)
        if not self._is_registered or page.records:
            self._publish_members()
        await self._async_register()
        if page.records:
            self._on_news()
            await asyncio.sleep(GATHER_S)

    def _replace_rows(self, rows: Iterable[tuple[str, bytes]]) -> None:
        """Take the newest record of each member."""
        self._rows = dict(rows)
        self._history = []

    def _add_rows(self, rows: list[tuple[str, bytes]]) -> None:
        """Take records that follow those known."""
        for key, value in rows:
            # The newest record of an address stands last.
            self._rows.pop(key, None)
            if value:
                self._rows[key] = value
        self._history = [*self._history, *rows][-MAX_HISTORY:]

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
        if self._is_registered:
            # Another daemon may not know of it yet.
            by_address[self._own.address] = self._own
        for key, value in self._rows.items():
            try:
                member = member_records.decode(key, value)
                by_address[member.address] = member
            except exceptions.DecodeError as error:
                self._log.change('member_rejected', key=key, error=str(error))
        members = list(by_address.values())
        self._log.change(
            'members', count=len(members), end=self._knowledge.members_end
        )
        self._on_members(members)
