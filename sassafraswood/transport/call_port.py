"""Runs calls on this daemon or on a peer."""

from sassafraswood.coordination import first_daemon
from sassafraswood.coordination import serving as serving_module
from sassafraswood.models import ids
from sassafraswood.models import messages
from sassafraswood.transport import peer_mesh


class CallPort:
    """Passes each call to the daemon that runs it, local or remote."""

    def __init__(
        self,
        *,
        own: ids.DaemonId,
        serving: serving_module.Serving,
        mesh: peer_mesh.PeerMesh,
    ) -> None:
        """Initialize a port.

        Args:
            own: Id of this daemon.
            serving: Runs calls on the local upstream.
            mesh: Connections to the peers.
        """
        self._own_id = own
        self._serving = serving
        self._mesh = mesh
        self._first_daemon: first_daemon.FirstDaemon | None = None

    def set_first_daemon(self, first: first_daemon.FirstDaemon) -> None:
        """Set what runs calls whose idempotency keys this daemon owns."""
        self._first_daemon = first

    async def async_run_call(
        self, daemon_id: ids.DaemonId, message: messages.RunCall
    ) -> messages.RunResult:
        """Run a call on a daemon and return its result.

        Raises:
            PeerError: If the call to a peer fails.
        """
        if daemon_id != self._own_id:
            return await self._mesh.async_run_call(daemon_id, message)
        return await self.async_run_locally(message)

    async def async_run_locally(
        self, message: messages.RunCall
    ) -> messages.RunResult:
        """Run a call on this daemon and return its result."""
        if message.as_owner:
            assert self._first_daemon is not None
            ended = await self._first_daemon.async_run_as_owner(
                message.context, message.request
            )
        else:
            ended = await self._serving.async_run(
                message.context, message.request
            )
        return messages.RunResult(
            call_id=message.context.call_id,
            result=ended.result,
            allowance_left=ended.allowance_left,
            hint=self._serving.hint(),
        )
