"""Decides which requests of clients are given up when memory is short."""

from typing import Final, Protocol

from sassafraswood.state import held_bytes

# Time from which the rate of a request tells a slow client from one that has
# just begun to send.
MIN_AGE_S: Final = 1.0
# Part of the limit that is freed at once, and the time between two searches
# for requests to give up, whose cost rises with the number of clients.
FREED_PART: Final = 16
SEARCH_INTERVAL_S: Final = 0.05
# Memory of a request that waits behind others, beside its head and body.
REQUEST_BYTES: Final = 384
# Memory of a part of a head, beside its text.
FIELD_BYTES: Final = 64
# Part of a head that is not counted: that of ordinary requests, which the
# number of connections limits.
FREE_HEAD_BYTES: Final = 2048


class Holder(Protocol):
    """A client whose request is not complete.

    Attributes:
        peer: Address of the client.
        since: Time at which the request began, in seconds.
        held_bytes: Bytes that are held for the request.
    """

    peer: str
    since: float
    held_bytes: int


class ClientBudget(held_bytes.ByteBudget):
    """Counts what the connections of all clients hold, against one limit.

    Requests that are complete are never given up. Of the others, those of
    the address that holds most go first, and among them those that were sent
    at the lowest rate.
    """

    def __init__(self, limit: int = held_bytes.DEFAULT_LIMIT) -> None:
        """Create a budget with a limit in bytes."""
        super().__init__(limit)
        # Bytes that one request at a time may hold beyond the limit.
        self.max_single_bytes = 0
        # Requests given up for others since the start.
        self.evicted_count = 0
        self._holders: set[Holder] = set()
        # What is counted apart, a client whose request is not complete or a
        # complete request, and its bytes.
        self._single: object | None = None
        self._single_bytes = 0
        self._searched_at = -SEARCH_INTERVAL_S

    @property
    def is_exceeded(self) -> bool:
        """Return whether more is held than the limit."""
        return self.count - self._single_bytes > self.limit

    def take(self, size: int) -> bool:
        """Reserve bytes; return False if they would exceed the limit."""
        if self.count - self._single_bytes + size > self.limit:
            return False
        self.take_anyway(size)
        return True

    def add(self, holder: Holder) -> None:
        """Note a client whose request is not complete."""
        self._holders.add(holder)

    def discard(self, holder: Holder) -> None:
        """Note that a request is complete or was given up."""
        self._holders.discard(holder)

    def take_single(self, size: int, holder: Holder) -> bool:
        """Reserve bytes apart from the limit, for one request at a time.

        Without it, no request that is larger than the limit would be served.

        Args:
            size: Bytes to reserve.
            holder: Client of the request. It may begin to exceed the limit
                while others hold a quarter of it at most.

        Returns:
            Whether they were reserved; end_single() ends it.
        """
        own_bytes = holder.held_bytes
        if own_bytes + size > self.max_single_bytes:
            return False
        if self._single is None:
            if self.count - own_bytes > self.limit // 4:
                return False
            self._single = holder
        elif self._single is not holder:
            return False
        self.take_anyway(size)
        self._single_bytes = own_bytes + size
        return True

    def complete_single(self, holder: Holder, request: object) -> None:
        """Note a complete request, which may be the one counted apart."""
        if self._single is holder:
            self._single = request

    def end_single(self, item: object) -> None:
        """Count a client or request apart no longer; its bytes are released.

        Does nothing if it was not counted apart.
        """
        if self._single is item:
            self._single = None
            self._single_bytes = 0

    def find_victims(
        self, size: int, taker: Holder, now: float
    ) -> list[Holder]:
        """Return the requests to give up so that bytes can be reserved.

        Args:
            size: Bytes that are to be reserved.
            taker: Client whose request needs them.
            now: Time in seconds.

        Returns:
            The requests; none if all that may be given up do not suffice.
        """
        if now - self._searched_at < SEARCH_INTERVAL_S:
            return []
        self._searched_at = now
        needed = self.count - self._single_bytes + size - self.limit
        totals: dict[str, int] = {}
        for holder in self._holders:
            totals[holder.peer] = (
                totals.get(holder.peer, 0) + holder.held_bytes
            )
        own_total = totals.get(taker.peer, 0)
        ranked = sorted(
            (
                -totals[holder.peer],
                holder.held_bytes / (now - holder.since),
                number,
                holder,
            )
            for number, holder in enumerate(self._holders)
            if holder is not taker
            and holder is not self._single
            and holder.held_bytes > 0
            and now - holder.since >= MIN_AGE_S
            and totals[holder.peer] >= own_total
        )
        victims: list[Holder] = []
        freed_bytes = 0
        for _, _, _, holder in ranked:
            if freed_bytes >= max(needed, self.limit // FREED_PART):
                break
            freed_bytes += holder.held_bytes
            victims.append(holder)
        if freed_bytes < needed:
            return []
        self.evicted_count += len(victims)
        return victims
