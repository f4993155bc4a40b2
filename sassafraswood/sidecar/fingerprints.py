"""Fingerprints, which are equal for a request and its retries."""

from sassafraswood.coordination import lost_runs
from sassafraswood.coordination import quarantine
from sassafraswood.models import ids
from sassafraswood.protocol import frames

_HOST: bytes = b'host'


def hash_run(run: frames.Run) -> ids.Fingerprint:
    """Return the fingerprint of a call.

    It covers method, target, host, workspace and body. It leaves out the
    service, since a route may go to several services, and the daemon that
    sent the call.
    """
    method, target, host = _parse_head(run.head)
    return quarantine.hash_parts(
        method, target, host, run.workspace.encode(), run.body
    )


def build_local_key(run: frames.Run) -> lost_runs.RequestKind:
    """Return a key that is cheaper to compute than the fingerprint.

    It is valid only within this process, since it contains a salted hash.
    """
    return run.head.partition(b'\r\n')[0], run.workspace, hash(run.body)


def _parse_head(head: bytes) -> tuple[bytes, bytes, bytes]:
    """Return the method, the target and the host of a request head."""
    request_line, _, rest = head.partition(b'\r\n')
    method, _, target = request_line.partition(b' ')
    for header in rest.split(b'\r\n'):
        name, _, value = header.partition(b':')
        if name.lower() == _HOST:
            return method, target, value.strip().lower()
    return method, target, b''
