"""Derives the lowest admitted importance from started and shed calls."""

import math
from typing import Final

from sassafraswood.models import enums

WINDOW_S: Final = 0.1
# A class counts as refused when nearly all of its calls are shed and it gets
# hardly any of the starts. A class that overloads the upstream by itself is
# shed in part but still fills the slots, so callers must keep sending it.
MIN_SHED_FRACTION: Final = 0.9
MAX_STARTS_FRACTION: Final = 0.05
MIN_SHED_CALLS: Final = 3
MIN_REFUSED_WINDOWS: Final = 2
# Hysteresis: a refused class is admitted again after this time without another
# refused window, or immediately when enough of its calls start.
REFUSAL_HOLD_S: Final = 0.5


class SheddingMeter:
    """Counts recent starts and overload refusals by importance."""

    def __init__(self, now: float) -> None:
        """Start without counts at the given monotonic time in seconds."""
        self._window_start = now
        self._starts = dict.fromkeys(enums.Importance, 0)
        self._sheds = dict.fromkeys(enums.Importance, 0)
        self._refused_windows = dict.fromkeys(enums.Importance, 0)
        self._refused_until = dict.fromkeys(enums.Importance, -math.inf)
        self._offered_per_start = 1.0
        self._offered_per_start_at = -math.inf

    def note_start(self, importance: enums.Importance, now: float) -> None:
        """Count a call that starts."""
        self._roll_window(now)
        self._starts[importance] += 1

    def note_shed(self, importance: enums.Importance, now: float) -> None:
        """Count a call that is refused because of overload."""
        self._roll_window(now)
        self._sheds[importance] += 1

    def lowest_admitted_importance(self, now: float) -> enums.Importance:
        """Return the lowest importance that is currently admitted."""
        self._roll_window(now)
        for importance in enums.Importance:
            if self._refused_until[importance] <= now:
                return importance
        return enums.Importance.CRITICAL

    def offered_per_start(self, now: float) -> float:
        """Return the ratio of offered to started calls, at least 1."""
        self._roll_window(now)
        if now - self._offered_per_start_at > REFUSAL_HOLD_S:
            return 1.0
        return self._offered_per_start

    def _roll_window(self, now: float) -> None:
        if now - self._window_start < WINDOW_S:
            return
        starts = sum(self._starts.values())
        sheds = sum(self._sheds.values())
        if starts + sheds:
            self._offered_per_start = (starts + sheds) / max(1, starts)
            self._offered_per_start_at = now
        for importance in enums.Importance:
            self._update_class(importance, starts, now)
            self._starts[importance] = 0
            self._sheds[importance] = 0
        self._window_start = now

    def _update_class(
        self, importance: enums.Importance, all_starts: int, now: float
    ) -> None:
        starts = self._starts[importance]
        sheds = self._sheds[importance]
        if starts > MAX_STARTS_FRACTION * all_starts:
            self._refused_until[importance] = -math.inf
        if not starts + sheds:
            return
        is_refused = (
            sheds > MIN_SHED_FRACTION * (starts + sheds)
            and all_starts > 0
            and starts <= MAX_STARTS_FRACTION * all_starts
        )
        if not is_refused:
            self._refused_windows[importance] = 0
            return
        if self._refused_until[importance] > now:
            # Callers send only probes of a refused class, so that a few calls
            # are enough to prolong the refusal.
            self._refused_until[importance] = now + REFUSAL_HOLD_S
            return
        self._refused_windows[importance] += 1
        if (
            sheds >= MIN_SHED_CALLS
            and self._refused_windows[importance] >= MIN_REFUSED_WINDOWS
        ):
            self._refused_windows[importance] = 0
            self._refused_until[importance] = now + REFUSAL_HOLD_S
