"""Bytes that ZeroMQ and CURVE add to messages between two sockets.

A TCP forwarder between a DEALER and a ROUTER counts the bytes of the
connection; headers of TCP and IP are not included.
"""

import dataclasses
import socket
import threading
import time

import zmq

_MESSAGES = 200


@dataclasses.dataclass(frozen=True, kw_only=True)
class WireCost:
    """Bytes on one connection, both directions together.

    Attributes:
        handshake_bytes: From the connect to the first message.
        added_short: Per message of 100 bytes.
        added_long: Per message of 1,000 bytes.
    """

    handshake_bytes: int
    added_short: float
    added_long: float


class _Forwarder:
    def __init__(self, target: int) -> None:
        self._target = target
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.port = self._listener.getsockname()[1]
        self.bytes = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        client, _ = self._listener.accept()
        server = socket.create_connection(('127.0.0.1', self._target))
        for pair in ((client, server), (server, client)):
            threading.Thread(target=self._copy, args=pair, daemon=True).start()

    def _copy(self, source: socket.socket, sink: socket.socket) -> None:
        while data := source.recv(65536):
            self.bytes += len(data)
            sink.sendall(data)


def measure() -> WireCost:
    """Return the cost on a new connection."""
    context = zmq.Context()
    public, secret = zmq.curve_keypair()
    router = context.socket(zmq.ROUTER)
    router.set(zmq.CURVE_SERVER, 1)
    dealer = context.socket(zmq.DEALER)
    dealer.set(zmq.CURVE_SERVERKEY, public)
    for end in (router, dealer):
        end.set(zmq.CURVE_PUBLICKEY, public)
        end.set(zmq.CURVE_SECRETKEY, secret)
        end.set(zmq.RCVTIMEO, 5000)
        end.set(zmq.LINGER, 0)
    port = router.bind_to_random_port('tcp://127.0.0.1')
    forwarder = _Forwarder(port)
    dealer.set(zmq.IMMEDIATE, 1)
    dealer.connect(f'tcp://127.0.0.1:{forwarder.port}')
    dealer.poll(5000, zmq.POLLOUT)
    time.sleep(0.2)
    handshake = forwarder.bytes
    added = []
    for size in (100, 1000):
        before = forwarder.bytes
        for _ in range(_MESSAGES):
            dealer.send(bytes(size))
            router.recv_multipart()
        time.sleep(0.2)
        added.append((forwarder.bytes - before) / _MESSAGES - size)
    context.destroy(linger=0)
    return WireCost(
        handshake_bytes=handshake, added_short=added[0], added_long=added[1]
    )
