"""Log events for changes of state."""

import sys
from typing import Any

import eliot


def start_logging() -> None:
    """Write log events as JSON lines to standard error."""
    eliot.to_file(sys.stderr)


def log_change(kind: str, **fields: Any) -> None:
    """Log a change of state.

    Args:
        kind: Name of the event, such as upstream_changed.
        **fields: JSON values of the event; must not contain keys or tokens.
    """
    eliot.log_message(message_type=f'sassafraswood:{kind}', **fields)
