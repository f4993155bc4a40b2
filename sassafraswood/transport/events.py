"""Log lines for changes of state."""

import sys
from typing import Any

import eliot


def start_logging() -> None:
    """Write events as JSON lines to standard error."""
    eliot.to_file(sys.stderr)


def log_change(kind: str, **fields: Any) -> None:
    """Write one change of state.

    Args:
        kind: Name of the event, such as upstream_changed.
        **fields: JSON values; never a key or a token.
    """
    eliot.log_message(message_type=f'sassafraswood:{kind}', **fields)
