"""Fingerprints, which are equal for a request and its retries.

A request that crashes upstreams may come again with another query. So a target
with a query has two fingerprints: of the whole target, and of its path alone.
Which of them tells the request from harmless ones, the crashes show.
"""

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
    return hash_all(run)[0]


def hash_all(run: frames.Run) -> list[ids.Fingerprint]:
    """Return the fingerprints of a call, that of its whole target first."""
    method, target, host = _parse_head(run.head)
    path, query_mark, _ = target.partition(b'?')
    return [
        quarantine.hash_parts(
            method,
            part,
            host,
            run.workspace.encode(),
            run.body_hash or run.body,
        )
        for part in ((target, path) if query_mark else (target,))
    ]


def build_local_keys(run: frames.Run) -> list[lost_runs.RequestKind]:
    """Return keys that are cheaper to compute than the fingerprints.

    There is one for each fingerprint, in the same order. They are valid only
    within this process, since they contain a salted hash.
    """
    # Without the version of the protocol, which follows the target.
    line = run.head.partition(b'\r\n')[0].rpartition(b' ')[0]
    body_hash = hash(run.body_hash or run.body)
    path, query_mark, _ = line.partition(b'?')
    return [
        (part, run.workspace, body_hash)
        for part in ((line, path) if query_mark else (line,))
    ]


def _parse_head(head: bytes) -> tuple[bytes, bytes, bytes]:
    """Return the method, the target and the host of a request head."""
    request_line, _, rest = head.partition(b'\r\n')
    method, _, target = request_line.partition(b' ')
    for header in rest.split(b'\r\n'):
        name, _, value = header.partition(b':')
        if name.lower() == _HOST:
            return method, target, value.strip().lower()
    return method, target, b''
