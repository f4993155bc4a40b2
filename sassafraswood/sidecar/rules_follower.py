"""Follows what the operator publishes: traffic rules and evacuations."""

from collections.abc import Callable
import math
import zlib

from sassafraswood.coordination import evacuation
from sassafraswood.coordination import store_knowledge
from sassafraswood import exceptions
from sassafraswood.models import traffic
from sassafraswood.platform import evacuations as evacuation_records
from sassafraswood.platform import rules as rule_documents
from sassafraswood.platform import store as store_module
from sassafraswood.protocol import frames
from sassafraswood.sidecar import evacuation_exchange
from sassafraswood.sidecar import store_reader


class RulesFollower(store_reader.StoreReader):
    """Keeps the newest rules, read from the store or received from a peer."""

    def __init__(
        self,
        *,
        context: store_reader.ReaderContext,
        knowledge: store_knowledge.StoreKnowledge,
        max_age_s: float,
        evacuations: evacuation_exchange.EvacuationExchange,
        on_rules: Callable[[traffic.TrafficRules], None],
        on_update: Callable[[], None],
    ) -> None:
        """Initialize the follower.

        Args:
            context: Dependencies that all readers of the store share.
            knowledge: Keeps the version and age of the rules.
            max_age_s: Maximum age of the rules, in seconds.
            evacuations: Takes the evacuations that the same topic holds.
            on_rules: Called with rules newer than those in force.
            on_update: Called after on_rules, to announce them to peers.
        """
        super().__init__('rules', context, max_age_s)
        self._knowledge = knowledge
        self._evacuations = evacuations
        self._on_rules = on_rules
        self._on_update = on_update
        self._document: frames.RulesDocument | None = None
        self._offset: int | None = None

    def document(self) -> frames.RulesDocument | None:
        """Return the message for peers with the rules in force, if any."""
        return self._document

    def take(self, document: frames.RulesDocument) -> None:
        """Apply rules received from a peer if they are newer."""
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
    def _needs_first_record(self) -> bool:
        return self._knowledge.rules_version < 0

    @property
    def _age_s(self) -> float:
        return self._knowledge.rules_age_s

    def _reset_offset(self) -> None:
        self._offset = None

    async def _async_read(self, wait_s: float) -> bool:
        started_at = self._clock.monotonic()
        topic = store_module.RULES_TOPIC
        is_whole = self._offset is None
        if self._offset is None:
            page = await self._store.async_newest(topic)
            wait_s = 0.0
        else:
            page = await self._store.async_read(topic, self._offset, wait_s)
        self._offset = page.next_offset
        # Rules that cannot be decoded do not keep back an evacuation.
        self._evacuations.apply(
            evacuation_records.decode(page.records),
            evacuation.compute_revision(page.next_offset),
            is_whole=is_whole,
        )
        newest = None
        for record in page.records:
            if record.key == store_module.RULES_KEY:
                newest = record
        if newest is not None:
            try:
                self._apply(newest.value, started_at)
            except exceptions.DecodeError:
                # It may be whole in the next response.
                self._offset = None
                raise
        elif self._knowledge.rules_version >= 0:
            as_of = started_at
            if not page.records:
                as_of = self._known_until(started_at, wait_s)
            self._knowledge.note_rules(self._knowledge.rules_version, as_of)
        return bool(page.records)

    def _apply(self, document: bytes, as_of: float) -> None:
        """Put rules in force if they are newer than those that are.

        Rules that raise an error stay unknown, so that they are read again
        and this daemon does not vouch for older ones.
        """
        rules = rule_documents.decode(document)
        if rules.version > self._knowledge.rules_version:
            self._on_rules(rules)
            self._document = frames.RulesDocument(
                version=rules.version, document=zlib.compress(document, 1)
            )
            self._knowledge.note_rules(rules.version, as_of)
            self._log.change(
                'rules_in_force',
                version=rules.version,
                routes=len(rules.routes),
                workspaces=len(rules.workspaces),
                from_store=as_of > 0,
            )
            self._on_update()
        else:
            self._knowledge.note_rules(rules.version, as_of)


def _decompress(document: bytes) -> bytes:
    try:
        return zlib.decompress(document)
    except zlib.error as error:
        raise exceptions.DecodeError(str(error)) from error
