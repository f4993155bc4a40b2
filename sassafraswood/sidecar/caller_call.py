"""State of a request from a caller."""

from collections.abc import Callable
from typing import Any, Final

from sassafraswood.coordination import upstream_choice
from sassafraswood.models import ids
from sassafraswood.models import traffic
from sassafraswood.transport import ingress_connection

# Urgency of calls whose importance is unknown.
DEFAULT_URGENCY: Final = 0.5


class CallerCall:
    """State of one request: its limits, its attempts and its current call.

    Attributes:
        request: Request of the caller.
        route: Route that it matched.
        service: Service that the call goes to.
        workspace: Workspace of its key; empty without one.
        urgency: Urgency from the importance of route and workspace.
        is_inner: Whether the local upstream sent the request.
        has_token: Whether it holds a token of the limit of its workspace.
        parent_attempt_id: Attempt of the call that the local upstream runs
            and that sent this one; empty if unknown.
        counts_as_deep_load: Whether the load that the call meets counts as
            load below the local upstream.
        started_at: When the call was started; as all times here, monotonic
            time in seconds.
        deadline: When the caller stops waiting.
        expires_at: When the call times out; at the deadline at the latest.
        latency_target_s: Latency target of the call in seconds.
        has_slack: Whether the target is most of the time that callers give.
        max_wait_s: Longest wait for a start that is asked for, in seconds; 0
            leaves it to the daemon beside the upstream.
        call_id: Number of the current attempt.
        candidate: Daemon of the current attempt.
        cancel: Cancels the current attempt; None if there is none.
        sent_at: When the current attempt was sent; 0 before the first.
        attempt_count: Attempts that may have run.
        refusal_count: Attempts that were refused.
        siblings: Calls that the same run of the local upstream has made
            before this one; 0 if unknown.
        shed_daemon_ids: Daemons whose upstream refused an attempt.
        upstream_refusal_count: Attempts that an upstream itself refused.
        redirect_count: Attempts that found all slots of an upstream in use.
        reserved_bytes: Memory that is reserved for its answer.
        tried_daemon_ids: Daemons to which the call was sent.
    """

    __slots__ = (
        'attempt_count',
        'call_id',
        'cancel',
        'candidate',
        'counts_as_deep_load',
        'deadline',
        'expires_at',
        'has_slack',
        'has_token',
        'is_inner',
        'latency_target_s',
        'max_wait_s',
        'parent_attempt_id',
        'redirect_count',
        'refusal_count',
        'request',
        'reserved_bytes',
        'route',
        'sent_at',
        'service',
        'shed_daemon_ids',
        'siblings',
        'started_at',
        'tried_daemon_ids',
        'upstream_refusal_count',
        'urgency',
        'workspace',
    )

    def __init__(
        self,
        request: ingress_connection.IngressRequest,
        route: traffic.Route,
        service: ids.ServiceName,
    ) -> None:
        """Create the state before the first attempt."""
        self.request = request
        self.route = route
        self.service = service
        self.workspace = ids.Workspace('')
        self.urgency = DEFAULT_URGENCY
        self.is_inner = False
        self.has_token = False
        self.parent_attempt_id = b''
        self.counts_as_deep_load = False
        self.started_at = 0.0
        self.deadline = 0.0
        self.expires_at = 0.0
        self.latency_target_s = route.target_s
        self.has_slack = False
        self.max_wait_s = 0.0
        self.call_id = 0
        self.candidate: upstream_choice.Candidate | None = None
        self.cancel: Callable[[], None] | None = None
        self.sent_at = 0.0
        self.attempt_count = 0
        self.refusal_count = 0
        self.reserved_bytes = 0
        self.redirect_count = 0
        self.upstream_refusal_count = 0
        self.shed_daemon_ids: set[ids.DaemonId] = set()
        self.siblings = 0
        self.tried_daemon_ids: list[ids.DaemonId] = []

    def describe(self, status: int, reason: str) -> dict[str, Any]:
        """Return the fields common to log lines on the end of the call."""
        return {
            'request': self.request.attempt_id.decode('latin-1'),
            'route': self.route.name,
            'workspace': self.workspace,
            'status': status,
            'reason': reason,
            'inner': self.is_inner,
            'parent': self.parent_attempt_id.decode('latin-1'),
            'tried': list(self.tried_daemon_ids),
        }
