"""Signals of a daemon process, from its start until it is gone.

Imports hardly anything, so that the handlers exist as early as possible: not
typing, and in place of signal the built-in module below it, without its enums.
"""

import _signal as signal
from collections.abc import Callable

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP


class ProcessSignals:
    """Remembers the signals of a process and reports them once it can act.

    Attributes:
        stop_signal: Number of the first signal that requests a stop; 0 if
            there was none.
    """

    def __init__(self, *, handles_reload: bool = True) -> None:
        """Initialize without changing how the process handles signals.

        Args:
            handles_reload: Whether RELOAD_SIGNAL is handled, too.
        """
        self.stop_signal = 0
        self._numbers = (
            (*STOP_SIGNALS, RELOAD_SIGNAL) if handles_reload else STOP_SIGNALS
        )
        self._is_reload_requested = False
        self._on_signal: Callable[[], object] | None = None

    def install(self) -> None:
        """Handle the signals from now on; only the main thread may do so."""
        for number in self._numbers:
            signal.signal(number, self._note)
        # The program that starts the interpreter blocks them until here.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, self._numbers)

    def ignore(self) -> None:
        """Ignore the signals until the process is gone.

        Handlers written in Python do not last: the end of the interpreter
        replaces them by the default, which ends the process by the signal.
        """
        for number in self._numbers:
            signal.signal(number, signal.SIG_IGN)

    def set_callback(self, on_signal: Callable[[], object] | None) -> None:
        """Set what is called after each signal.

        Args:
            on_signal: Called between any two instructions of the main thread,
                so that it may only schedule a callback of the event loop.
        """
        self._on_signal = on_signal

    def take_reload(self) -> bool:
        """Return whether a reload was requested since the last call."""
        is_requested = self._is_reload_requested
        self._is_reload_requested = False
        return is_requested

    def _note(self, number: int, frame: object) -> None:
        del frame
        if number == RELOAD_SIGNAL:
            self._is_reload_requested = True
        elif not self.stop_signal:
            self.stop_signal = number
        if self._on_signal is not None:
            self._on_signal()
