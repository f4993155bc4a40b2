"""Measures the bytes that ZeroMQ and CURVE add to messages.

A TCP forwarder between a DEALER and a ROUTER counts the bytes of the
connection, without the headers of TCP and IP.
"""

import dataclasses
import socket
import threading
import time

import zmq

_MESSAGE_COUNT = 200


@dataclasses.dataclass(frozen=True, kw_only=True)
class WireCost:
    """Bytes on one connection, in both directions together.

    Attributes:
        handshake_bytes: Bytes before the first message.
        added_short: Bytes added to a message of 100 bytes.
        added_long: Bytes added to a message of 1,000 bytes.
    """

    handshake_bytes: int
    added_short: float
    added_long: float


class _CountingForwarder:
    """Forwards one connection and counts its bytes in both directions."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.port = self._listener.getsockname()[1]
        self.byte_count = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        client, _ = self._listener.accept()
        server = socket.create_connection(('127.0.0.1', self._target_port))
        for ends in ((client, server), (server, client)):
            threading.Thread(target=self._copy, args=ends, daemon=True).start()

    def _copy(self, source: socket.socket, destination: socket.socket) -> None:
        while data := source.recv(65536):
            self.byte_count += len(data)
            destination.sendall(data)


def measure() -> WireCost:
    """Measure the bytes added on a new connection."""
    context = zmq.Context()
    public_key, secret_key = zmq.curve_keypair()
    router = context.socket(zmq.ROUTER)
    router.set(zmq.CURVE_SERVER, 1)
    dealer = context.socket(zmq.DEALER)
    dealer.set(zmq.CURVE_SERVERKEY, public_key)
    for zmq_socket in (router, dealer):
        zmq_socket.set(zmq.CURVE_PUBLICKEY, public_key)
        zmq_socket.set(zmq.CURVE_SECRETKEY, secret_key)
        zmq_socket.set(zmq.RCVTIMEO, 5000)
        zmq_socket.set(zmq.LINGER, 0)
    port = router.bind_to_random_port('tcp://127.0.0.1')
    forwarder = _CountingForwarder(port)
    dealer.set(zmq.IMMEDIATE, 1)
    dealer.connect(f'tcp://127.0.0.1:{forwarder.port}')
    dealer.poll(5000, zmq.POLLOUT)
    time.sleep(0.2)
    handshake_bytes = forwarder.byte_count
    added_bytes = []
    for size_bytes in (100, 1000):
        bytes_before = forwarder.byte_count
        for _ in range(_MESSAGE_COUNT):
            dealer.send(bytes(size_bytes))
            router.recv_multipart()
        time.sleep(0.2)
        added_bytes.append(
            (forwarder.byte_count - bytes_before) / _MESSAGE_COUNT - size_bytes
        )
    context.destroy(linger=0)
    return WireCost(
        handshake_bytes=handshake_bytes,
        added_short=added_bytes[0],
        added_long=added_bytes[1],
    )
