"""Fake HTTP server of the operator interface of a daemon."""

from collections.abc import Iterator
import dataclasses
import http.server
import json
import threading
import typing

import pytest

from sassafraswood.cli import operator_client

TOKEN = 'operator-token-of-the-test'


@dataclasses.dataclass
class ReceivedRequest:
    """A request that the server received."""

    method: str
    path: str
    token: str
    body: typing.Any


class OperatorServer:
    """Sends prepared responses, in order for each path."""

    def __init__(self) -> None:
        """Listen on a free loopback port."""
        self.received: list[ReceivedRequest] = []
        self._responses: dict[str, list[tuple[int, object] | None]] = {}
        self._server = http.server.ThreadingHTTPServer(
            ('127.0.0.1', 0), self._handler_class()
        )
        self.url = f'http://127.0.0.1:{self._server.server_port}'
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(0.02,)
        )
        self._thread.start()

    def respond(
        self, path: str, *responses: tuple[int, object] | None
    ) -> None:
        """Set the responses to requests of a path; the last one is repeated.

        None closes the connection after the request, without a response.
        """
        self._responses[path] = list(responses)

    def requests_to(self, path: str) -> list[ReceivedRequest]:
        """Return the received requests of a path, in order."""
        return [request for request in self.received if request.path == path]

    def stop(self) -> None:
        """Stop the server and wait for its thread."""
        self._server.shutdown()
        self._server.server_close()
        self._thread.join()

    def _next_response(self, path: str) -> tuple[int, object] | None:
        responses = self._responses.get(path.partition('?')[0])
        if responses is None:
            return 404, {'error': 'unknown_path', 'detail': path}
        return responses.pop(0) if len(responses) > 1 else responses[0]

    def _handler_class(self) -> type[http.server.BaseHTTPRequestHandler]:
        operator_server = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def do_GET(self) -> None:
                length = int(self.headers.get('content-length', 0))
                body = self.rfile.read(length)
                operator_server.received.append(
                    ReceivedRequest(
                        method=self.command,
                        path=self.path,
                        token=self.headers.get('authorization', ''),
                        body=json.loads(body) if body else None,
                    )
                )
                response = operator_server._next_response(self.path)
                if response is None:
                    self.close_connection = True
                    return
                payload = json.dumps(response[1]).encode()
                self.send_response(response[0])
                self.send_header('content-length', str(len(payload)))
                self.end_headers()
                self.wfile.write(payload)

            do_POST = do_GET

            def log_message(self, *args: object) -> None:
                del args

        return Handler


@pytest.fixture
def operator_server(
    monkeypatch: pytest.MonkeyPatch,
) -> Iterator[OperatorServer]:
    """Return a fake server; the environment names its address and token."""
    server = OperatorServer()
    monkeypatch.setenv('SASSAFRASWOOD_DAEMON', server.url)
    monkeypatch.setenv(operator_client.TOKEN_VARIABLE, TOKEN)
    yield server
    server.stop()
