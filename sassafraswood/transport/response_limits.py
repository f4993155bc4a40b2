"""Limits that end responses which never complete."""

from typing import Final

# Bytes of an exchange outside of bodies: headers, trailers and chunk framing.
# Servers limit headers to 8 to 64 KiB.
MAX_OVERHEAD_BYTES: Final = 128 * 1024
# Framing bytes per body byte; a chunk that carries one byte takes six bytes in
# total.
MAX_FRAMING_RATIO: Final = 8
# Parts of a body, such as its chunks, that may be of any size, and the least
# mean size of further ones. Each part takes processor time, however small.
MAX_SMALL_PARTS: Final = 128 * 1024
MIN_PART_BYTES: Final = 16
# Lowest and highest status of HTTP (RFC 9110, section 15).
MIN_STATUS: Final = 100
MAX_STATUS: Final = 599
# Interim responses, and responses to other requests, that may precede the
# response to the current request.
MAX_SKIPPED_RESPONSES: Final = 16


def is_valid_status(status: int) -> bool:
    """Return whether a response may have this status."""
    return MIN_STATUS <= status <= MAX_STATUS


def is_oversized(
    *,
    received_bytes: int,
    body_bytes: int,
    skipped_count: int,
    max_body_bytes: int,
) -> bool:
    """Return whether an incomplete response has exceeded its limits.

    Args:
        received_bytes: All bytes received since the request was sent.
        body_bytes: Bytes of them that belong to bodies.
        skipped_count: Interim responses and responses to other requests.
        max_body_bytes: Largest accepted body.
    """
    overhead_bytes = received_bytes - body_bytes
    return (
        overhead_bytes > MAX_OVERHEAD_BYTES + MAX_FRAMING_RATIO * body_bytes
        or received_bytes > (1 + MAX_FRAMING_RATIO) * max_body_bytes
        or skipped_count > MAX_SKIPPED_RESPONSES
    )


def has_excessive_parts(*, part_count: int, body_bytes: int) -> bool:
    """Return whether bodies have come in too many small parts.

    Args:
        part_count: Parts of bodies since the request was sent.
        body_bytes: Bytes of these parts.
    """
    return part_count > MAX_SMALL_PARTS + body_bytes // MIN_PART_BYTES
