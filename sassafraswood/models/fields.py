"""Names of the HTTP header fields that daemons read and write."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FieldNames:
    """Header field names in lower case.

    Attributes:
        attempt_id: Id of one attempt of a client, repeated in the response.
        deadline_ms: Milliseconds that the sender waits for the response.
        seal: Authenticates a response as one of an upstream.
        workspace: Tells the upstream the workspace that the key belongs to.
        expected_instance: Id of the only upstream that may run the request.
        not_run: States in a response that the upstream did not run the
            request.
        caller_service: Service on whose VM the request was made.
        instance_id: Id of the upstream that sent the response.
        cold_ms: Milliseconds that the upstream stays cold, in its response to
            a health check.
        key: Holds the key of a workspace after key_scheme.
        key_scheme: Authentication scheme in lower case, with the space
            after it.
    """

    attempt_id: bytes
    deadline_ms: bytes
    seal: bytes
    workspace: bytes
    expected_instance: bytes
    not_run: bytes
    caller_service: bytes
    instance_id: bytes
    cold_ms: bytes
    key: bytes
    key_scheme: bytes
