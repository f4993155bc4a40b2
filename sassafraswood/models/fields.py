"""Names of the header fields that carry meaning between the parties."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FieldNames:
    """Names in lower case.

    Attributes:
        attempt_id: Id of one try of a client, echoed in the answer.
        deadline_ms: Milliseconds that the sender waits.
        seal: Proof that an answer is the one of an upstream.
        workspace: Workspace that the key belongs to, for the upstream.
        expected_instance: The only upstream that may run the request.
        not_run: Says in an answer that the upstream did not run the request.
        caller_service: Service on whose VM the request began.
        instance_id: Id of the upstream that answers.
        key: Carries the key of a workspace after key_scheme.
        key_scheme: Lower case, with the space that ends it.
    """

    attempt_id: bytes
    deadline_ms: bytes
    seal: bytes
    workspace: bytes
    expected_instance: bytes
    not_run: bytes
    caller_service: bytes
    instance_id: bytes
    key: bytes
    key_scheme: bytes
