"""Age of the rules and of the member records known from the store."""

import math
from typing import Final

from sassafraswood import clock as clock_module

# Part of each age limit, in seconds, that is reserved for the time between the
# check of a request and the read of it, and for the difference in clock rate
# of two VMs.
AGE_MARGIN_S: Final = 0.4


class StoreKnowledge:
    """Tracks the age of the known rules and of the known member records.

    State counts as current only as of the time at which it was requested, so
    that a late reply never makes it look newer than it is.

    Attributes:
        rules_version: Version of the rules, -1 before the first ones.
        members_end_offset: Offset that follows the last known member record,
            -1 before the first read.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        """Initialize without any known state."""
        self._clock = clock
        self.rules_version = -1
        self._rules_known_at = -math.inf
        self.members_end_offset = -1
        self._members_known_at = -math.inf

    @property
    def rules_age_s(self) -> float:
        """Return the seconds since the rules were known to be the newest."""
        return self._clock.monotonic() - self._rules_known_at

    @property
    def members_age_s(self) -> float:
        """Return the seconds since the member records were known complete."""
        return self._clock.monotonic() - self._members_known_at

    def note_rules(self, version: int, as_of: float) -> None:
        """Record that a version of the rules was the newest at a time.

        A newer version includes everything that was known before, so its age
        is never higher than that of the version it replaces. An older version
        is ignored.

        Args:
            version: Version of the rules.
            as_of: Monotonic time at which it was the newest, in seconds;
                -inf if that is not known.
        """
        if version < self.rules_version:
            return
        self.rules_version = version
        self._rules_known_at = max(self._rules_known_at, as_of)

    def note_members(self, end: int, as_of: float) -> None:
        """Record that the member records ended at an offset at a time.

        Args:
            end: Offset that follows the last member record.
            as_of: Monotonic time at which there was no later record, in
                seconds; -inf if that is not known.
        """
        if end < self.members_end_offset:
            return
        self.members_end_offset = end
        self._members_known_at = max(self._members_known_at, as_of)

    def may_accept_keys(self, max_age_s: float) -> bool:
        """Return whether all withdrawals older than max_age_s are known."""
        return self.rules_age_s < max_age_s - AGE_MARGIN_S

    def may_spend_share(self, max_age_s: float) -> bool:
        """Return whether all members older than max_age_s are known."""
        return self.members_age_s < max_age_s - AGE_MARGIN_S
