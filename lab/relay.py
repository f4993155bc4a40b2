"""TCP relay that injects network faults between a client and a target."""

import enum

import anyio
import anyio.abc


class RelayMode(enum.Enum):
    """How the relay treats connections and their data."""

    PASS = 'pass'
    # Data on connections that are open at the change of mode is discarded;
    # new connections pass.
    SILENT_OPEN = 'silent_open'
    # All data is discarded; connections are accepted and stay open.
    SILENT = 'silent'
    # As SILENT, but only in one direction.
    SILENT_TO_TARGET = 'silent_to_target'
    SILENT_TO_CLIENT = 'silent_to_client'
    # Data passes after a delay of SLOW_S for each chunk.
    SLOW = 'slow'
    # Open connections are closed, and new ones are closed at once.
    CUT = 'cut'
    # The port is closed and refuses connections; open connections end.
    REFUSE = 'refuse'


# Delay of each chunk of data in mode SLOW, in seconds.
SLOW_S = 0.15


class Relay:
    """Listens on one address and relays connections to another."""

    def __init__(self, *, listen: str, target: str) -> None:
        """Initialize the relay without listening yet.

        Args:
            listen: Address to listen on, as host:port.
            target: Address to connect to, as host:port.
        """
        self._listen = listen
        self._target = target
        self._mode = RelayMode.PASS
        self._generation = 0
        # Set while the relay listens. The scope and the event are created in
        # the event loop, so that a relay can be created without one.
        self._listen_scope: anyio.CancelScope | None = None
        self._may_listen: anyio.Event | None = None
        self._open_streams: set[anyio.abc.SocketStream] = set()

    async def async_run(self) -> None:
        """Accept and relay connections until cancelled."""
        while True:
            if self._may_listen is not None:
                await self._may_listen.wait()
            host, port = self._listen.rsplit(':', 1)
            listener = await anyio.create_tcp_listener(
                local_host=host, local_port=int(port)
            )
            with anyio.CancelScope() as self._listen_scope:
                async with listener:
                    await listener.serve(self._async_handle_connection)
            self._listen_scope = None

    async def async_set_mode(self, mode: RelayMode) -> None:
        """Set the mode for open and new connections."""
        self._mode = mode
        self._generation += 1
        if mode is RelayMode.REFUSE:
            self._stop_listening()
        elif self._may_listen is not None:
            self._may_listen.set()
        if mode is RelayMode.CUT:
            for stream in list(self._open_streams):
                await stream.aclose()

    @property
    def is_listening(self) -> bool:
        """Return whether the relay accepts connections."""
        return self._listen_scope is not None

    def _stop_listening(self) -> None:
        if self._may_listen is None or self._may_listen.is_set():
            self._may_listen = anyio.Event()
        if self._listen_scope is not None:
            self._listen_scope.cancel()

    async def _async_handle_connection(
        self, client: anyio.abc.SocketStream
    ) -> None:
        async with client:
            if self._mode is RelayMode.CUT:
                return
            host, port = self._target.rsplit(':', 1)
            try:
                server = await anyio.connect_tcp(host, int(port))
            except OSError:
                return
            self._open_streams |= {client, server}
            try:
                await self._async_relay(client, server)
            finally:
                self._open_streams -= {client, server}

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
                if self._mode is not blocked and self._is_passing(generation):
                    await sink.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        tasks.cancel_scope.cancel()

    def _is_passing(self, generation: int) -> bool:
        if self._mode is RelayMode.PASS:
            return True
        if self._mode is RelayMode.SILENT_OPEN:
            return generation == self._generation
        return self._mode not in (
            RelayMode.SILENT,
            RelayMode.CUT,
            RelayMode.REFUSE,
        )
