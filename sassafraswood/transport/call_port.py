"""Runs calls at this daemon or at a peer."""

from sassafraswood.coordination import first_daemon
from sassafraswood.coordination import serving as serving_module
from sassafraswood.models import ids
from sassafraswood.models import messages
from sassafraswood.transport import peer_mesh


class CallPort:
    """The peers as the first daemon sees them, this daemon included."""

    def __init__(
        self,
        *,
        own: ids.DaemonId,
        serving: serving_module.Serving,
        mesh: peer_mesh.PeerMesh,
    ) -> None:
        """Take the local service and the peers."""
        self._own = own
        self._serving = serving
        self._mesh = mesh
        self._first: first_daemon.FirstDaemon | None = None

    def set_first(self, first: first_daemon.FirstDaemon) -> None:
        """Take the object that runs calls of owned idempotency keys."""
        self._first = first

    async def async_run_call(
        self, daemon_id: ids.DaemonId, message: messages.RunCall
    ) -> messages.RunResult:
        """Return the end of a call; raises PeerError for a peer."""
        if daemon_id != self._own:
            return await self._mesh.async_run_call(daemon_id, message)
        return await self.async_run_here(message)

    async def async_run_here(
        self, message: messages.RunCall
    ) -> messages.RunResult:
        """Return the end of a call at this daemon."""
        if message.as_owner:
            assert self._first is not None
            ended = await self._first.async_run_as_owner(
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
