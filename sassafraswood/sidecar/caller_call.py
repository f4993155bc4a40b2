"""A request of a caller and what was done for it."""

from collections.abc import Callable
from typing import Any, Final

from sassafraswood.coordination import upstream_choice
from sassafraswood.models import ids
from sassafraswood.models import traffic
from sassafraswood.transport import ingress

# Of calls whose importance is not known.
DEFAULT_URGENCY: Final = 0.5


class CallerCall:
    """One request and what was done for it."""

    __slots__ = (
        'aim_s',
        'call_id',
        'cancel',
        'candidate',
        'deadline',
        'expires_at',
        'has_token',
        'is_inner',
        'loads_below',
        'parent',
        'refusals',
        'rejections',
        'request',
        'route',
        'sent_at',
        'sends',
        'service',
        'started_at',
        'tried',
        'urgency',
        'workspace',
    )

    def __init__(
        self,
        request: ingress.IngressRequest,
        route: traffic.Route,
        service: ids.ServiceName,
    ) -> None:
        """Start before the first send."""
        self.request = request
        self.route = route
        self.service = service
        self.workspace = ids.Workspace('')
        self.urgency = DEFAULT_URGENCY
        self.is_inner = False
        self.has_token = False
        self.parent = b''
        # Whether the load that the call meets is below the own upstream.
        self.loads_below = False
        self.started_at = 0.0
        self.deadline = 0.0
        self.expires_at = 0.0
        self.aim_s = route.target_s
        self.call_id = 0
        self.candidate: upstream_choice.Candidate | None = None
        self.cancel: Callable[[], None] | None = None
        self.sent_at = 0.0
        # Sends that may have run, refusals, and those of an upstream itself.
        self.sends = 0
        self.refusals = 0
        self.rejections = 0
        self.tried: list[ids.DaemonId] = []

    def describe(self, status: int, reason: str) -> dict[str, Any]:
        """Return what log lines about the end of the call have in common."""
        return {
            'request': self.request.attempt_id.decode('latin-1'),
            'route': self.route.name,
            'workspace': self.workspace,
            'status': status,
            'reason': reason,
            'inner': self.is_inner,
            'parent': self.parent.decode('latin-1'),
            'tried': list(self.tried),
        }
