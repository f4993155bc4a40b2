"""Names of the header fields of requests and responses on the platform."""

from typing import Final

from sassafraswood.models import fields

NAMES: Final = fields.FieldNames(
    attempt_id=b'x-attempt-id',
    deadline_ms=b'x-deadline-ms',
    seal=b'x-response-seal',
    workspace=b'x-tenant',
    expected_instance=b'x-expected-instance',
    not_run=b'x-not-executed',
    caller_service=b'x-caller-service',
    instance_id=b'x-instance-id',
    cold_ms=b'x-cold-ms',
    key=b'authorization',
    key_scheme=b'token ',
)
