"""Identifier types."""

from typing import NewType

DaemonId = NewType('DaemonId', str)
# Unix time of the daemon process start in microseconds; a restart raises it.
Incarnation = NewType('Incarnation', int)
ServiceName = NewType('ServiceName', str)
Workspace = NewType('Workspace', str)
FailureDomain = NewType('FailureDomain', str)
CallId = NewType('CallId', str)
CallToken = NewType('CallToken', str)
KeyId = NewType('KeyId', str)
Offset = NewType('Offset', int)
Term = NewType('Term', int)
Revision = NewType('Revision', int)
Fingerprint = NewType('Fingerprint', str)
PublicationId = NewType('PublicationId', str)
