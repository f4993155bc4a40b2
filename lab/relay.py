"""TCP relay between two ends that can be cut or go silent."""

import enum

import anyio
import anyio.abc


class RelayMode(enum.Enum):
    """What the relay does."""

    PASS = 'pass'
    # Bytes on connections that are open are discarded; new ones pass.
    SILENT_OPEN = 'silent_open'
    # No byte passes and no connection is made, but none is closed.
    SILENT = 'silent'
    # As SILENT, in one direction only.
    SILENT_TO_TARGET = 'silent_to_target'
    SILENT_TO_CLIENT = 'silent_to_client'
    # Bytes pass after a delay.
    SLOW = 'slow'
    # Open connections are reset and new ones are closed at once.
    CUT = 'cut'
    # As if nobody listened; open connections end.
    REFUSE = 'refuse'


# Delay of each piece that passes a slow relay, in seconds.
SLOW_S = 0.15


class Relay:
    """Listens at one address and relays to another."""

    def __init__(self, *, listen: str, target: str) -> None:
        """Relay from listen to target, both host:port."""
        self._listen = listen
        self._target = target
        self._mode = RelayMode.PASS
        self._generation = 0
        # Made by the loop that runs the relay; before that there is none.
        self._scope: anyio.CancelScope | None = None
        self._may_listen: anyio.Event | None = None
        self._open: set[anyio.abc.SocketStream] = set()

    async def async_run(self) -> None:
        """Relay until cancelled."""
        while True:
            if self._may_listen is not None:
                await self._may_listen.wait()
            host, port = self._listen.rsplit(':', 1)
            listener = await anyio.create_tcp_listener(
                local_host=host, local_port=int(port)
            )
            with anyio.CancelScope() as self._scope:
                async with listener:
                    await listener.serve(self._async_connection)
            self._scope = None

    async def async_set_mode(self, mode: RelayMode) -> None:
        """Change what happens to the connections."""
        self._mode = mode
        self._generation += 1
        if mode is RelayMode.REFUSE:
            self._stop_listening()
        elif self._may_listen is not None:
            self._may_listen.set()
        if mode is RelayMode.CUT:
            for stream in list(self._open):
                await stream.aclose()

    @property
    def listening(self) -> bool:
        """Return whether connections are accepted."""
        return self._scope is not None

    def _stop_listening(self) -> None:
        if self._may_listen is None or self._may_listen.is_set():
            self._may_listen = anyio.Event()
        if self._scope is not None:
            self._scope.cancel()

    async def _async_connection(self, client: anyio.abc.SocketStream) -> None:
        async with client:
            if self._mode is RelayMode.CUT:
                return
            host, port = self._target.rsplit(':', 1)
            try:
                server = await anyio.connect_tcp(host, int(port))
            except OSError:
                return
            self._open |= {client, server}
            try:
                await self._async_relay(client, server)
            finally:
                self._open -= {client, server}

    async def _async_relay(
        self, client: anyio.abc.SocketStream, server: anyio.abc.SocketStream
    ) -> None:
        generation = self._generation
        async with server, anyio.create_task_group() as tasks:
            for source, sink, blocked in (
                (client, server, RelayMode.SILENT_TO_TARGET),
                (server, client, RelayMode.SILENT_TO_CLIENT),
            ):
                tasks.start_soon(
                    self._async_copy, source, sink, generation, blocked, tasks
                )

    async def _async_copy(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        generation: int,
        blocked: RelayMode,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        try:
            async for data in source:
                if self._mode is RelayMode.SLOW:
                    await anyio.sleep(SLOW_S)
                if self._mode is not blocked and self._passes(generation):
                    await sink.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        tasks.cancel_scope.cancel()

    def _passes(self, generation: int) -> bool:
        if self._mode is RelayMode.PASS:
            return True
        if self._mode is RelayMode.SILENT_OPEN:
            return generation == self._generation
        return self._mode not in (
            RelayMode.SILENT,
            RelayMode.CUT,
            RelayMode.REFUSE,
        )
