"""What a request has in common with its repeats."""

from sassafraswood.coordination import lost_runs
from sassafraswood.coordination import quarantine
from sassafraswood.models import ids
from sassafraswood.protocol import frames

_HOST: bytes = b'host'


def of_run(run: frames.Run) -> ids.Fingerprint:
    """Return the fingerprint of a call.

    The service is no part of it, since routes pass to other services; nor is
    the daemon that sent it.
    """
    method, target, host = _parse_head(run.head)
    return quarantine.hash_parts(
        method, target, host, run.workspace.encode(), run.body
    )


def kind_of(run: frames.Run) -> lost_runs.Kind:
    """Return a cheap stand-in for the fingerprint within this process."""
    return run.head.partition(b'\r\n')[0], run.workspace, hash(run.body)


def _parse_head(head: bytes) -> tuple[bytes, bytes, bytes]:
    """Return the method, the target and the host."""
    line, _, rest = head.partition(b'\r\n')
    method, _, target = line.partition(b' ')
    for row in rest.split(b'\r\n'):
        name, _, value = row.partition(b':')
        if name.lower() == _HOST:
            return method, target, value.strip().lower()
    return method, target, b''
