"""Follows the rules of the operator."""

from collections.abc import Callable
import math
import zlib

from sassafraswood.coordination import store_knowledge
from sassafraswood import exceptions
from sassafraswood.models import traffic
from sassafraswood.platform import rules as rule_documents
from sassafraswood.platform import store as store_module
from sassafraswood.protocol import frames
from sassafraswood.sidecar import store_reader


class RulesFollower(store_reader.StoreReader):
    """Keeps the newest rules, read from the store or told by a daemon."""

    def __init__(
        self,
        *,
        reading: store_reader.Reading,
        knowledge: store_knowledge.StoreKnowledge,
        max_age_s: float,
        on_rules: Callable[[traffic.TrafficRules], None],
        on_news: Callable[[], None],
    ) -> None:
        """Take the parts.

        Args:
            reading: Parts that all readers of the store share.
            knowledge: Where the age of what is known is kept.
            max_age_s: Age that known rules may have, in seconds.
            on_rules: Called with rules that are newer.
            on_news: Called afterwards, to tell other daemons.
        """
        super().__init__('rules', reading, max_age_s)
        self._knowledge = knowledge
        self._on_rules = on_rules
        self._on_news = on_news
        self._document: frames.RulesDocument | None = None
        self._offset: int | None = None

    def document(self) -> frames.RulesDocument | None:
        """Return the rules in force."""
        return self._document

    def take(self, document: frames.RulesDocument) -> None:
        """Take rules of another daemon."""
        if document.version <= self._knowledge.rules_version:
            return
        try:
            self._apply(_decompress(document.document), -math.inf)
        except exceptions.DecodeError as error:
            self._log.change('rules_rejected', source='peer', error=str(error))

    @property
    def _must_read(self) -> bool:
        return self._offset is None

    @property
    def _needs_news(self) -> bool:
        return self._knowledge.rules_version < 0

    @property
    def _age_s(self) -> float:
        return self._knowledge.rules_age_s

    def _forget_offset(self) -> None:
        self._offset = None

    async def _async_read(self, wait_s: float) -> bool:
        started_at = self._clock.monotonic()
        topic = store_module.RULES_TOPIC
        if self._offset is None:
            page = await self._store.async_newest(topic)
            wait_s = 0.0
        else:
            page = await self._store.async_read(topic, self._offset, wait_s)
        # What follows the offset is not read again if it is no document.
        self._offset = page.next_offset
        newest = None
        for record in page.records:
            if record.key == store_module.RULES_KEY:
                newest = record
        if newest is not None:
            self._apply(newest.value, started_at)
        elif self._knowledge.rules_version >= 0:
            # An empty read is answered at the end of its waiting time.
            waited_s = 0.0 if page.records else wait_s
            self._knowledge.note_rules(
                self._knowledge.rules_version, started_at + waited_s
            )
        return bool(page.records)

    def _apply(self, document: bytes, as_of: float) -> None:
        rules = rule_documents.decode(document)
        is_newer = rules.version > self._knowledge.rules_version
        self._knowledge.note_rules(rules.version, as_of)
        if not is_newer:
            return
        self._document = frames.RulesDocument(
            version=rules.version, document=zlib.compress(document, 1)
        )
        self._log.change(
            'rules_in_force',
            version=rules.version,
            routes=len(rules.routes),
            workspaces=len(rules.workspaces),
            from_store=as_of > 0,
        )
        self._on_rules(rules)
        self._on_news()


def _decompress(document: bytes) -> bytes:
    try:
        return zlib.decompress(document)
    except zlib.error as error:
        raise exceptions.DecodeError(str(error)) from error
