"""Counts of admitted and shed calls, and what they say to callers."""

import math
from typing import Final

from sassafraswood.models import enums

WINDOW_S: Final = 0.1
# A class counts as refused when nearly all of its calls are shed and it gets
# next to none of the starts. A class that alone overloads the upstream is
# shed in part but still fills the slots, and must go on being sent.
REFUSED_FRACTION: Final = 0.9
STARTS_FRACTION: Final = 0.05
MIN_SHED: Final = 3
WINDOWS_TO_REFUSE: Final = 2
# Hysteresis: a refused class comes back only after this time without such a
# window, or at once when it is served again.
HOLD_S: Final = 0.5


class SheddingMeter:
    """Recent starts and overload refusals by importance."""

    def __init__(self, now: float) -> None:
        """Start empty at the given monotonic time."""
        self._window_at = now
        self._starts = dict.fromkeys(enums.Importance, 0)
        self._sheds = dict.fromkeys(enums.Importance, 0)
        self._full_windows = dict.fromkeys(enums.Importance, 0)
        self._refused_until = dict.fromkeys(enums.Importance, -math.inf)
        self._pressure = 1.0
        self._pressure_at = -math.inf

    def note_start(self, importance: enums.Importance, now: float) -> None:
        """Count a call that starts."""
        self._roll(now)
        self._starts[importance] += 1

    def note_shed(self, importance: enums.Importance, now: float) -> None:
        """Count a call that is refused because of overload."""
        self._roll(now)
        self._sheds[importance] += 1

    def lowest_admitted(self, now: float) -> enums.Importance:
        """Return the lowest importance that is admitted."""
        self._roll(now)
        for importance in enums.Importance:
            if self._refused_until[importance] <= now:
                return importance
        return enums.Importance.CRITICAL

    def pressure(self, now: float) -> float:
        """Return calls offered per call started, at least 1."""
        self._roll(now)
        if now - self._pressure_at > HOLD_S:
            return 1.0
        return self._pressure

    def _roll(self, now: float) -> None:
        if now - self._window_at < WINDOW_S:
            return
        starts = sum(self._starts.values())
        sheds = sum(self._sheds.values())
        if starts + sheds:
            self._pressure = (starts + sheds) / max(1, starts)
            self._pressure_at = now
        for importance in enums.Importance:
            self._judge(importance, starts, now)
            self._starts[importance] = 0
            self._sheds[importance] = 0
        self._window_at = now

    def _judge(
        self, importance: enums.Importance, all_starts: int, now: float
    ) -> None:
        starts = self._starts[importance]
        sheds = self._sheds[importance]
        if starts > STARTS_FRACTION * all_starts:
            self._refused_until[importance] = -math.inf
        if not starts + sheds:
            return
        is_refused = (
            sheds > REFUSED_FRACTION * (starts + sheds)
            and all_starts > 0
            and starts <= STARTS_FRACTION * all_starts
        )
        if not is_refused:
            self._full_windows[importance] = 0
            return
        if self._refused_until[importance] > now:
            # A refused class sends probes only; few calls renew it.
            self._refused_until[importance] = now + HOLD_S
            return
        self._full_windows[importance] += 1
        if (
            sheds >= MIN_SHED
            and self._full_windows[importance] >= WINDOWS_TO_REFUSE
        ):
            self._full_windows[importance] = 0
            self._refused_until[importance] = now + HOLD_S
