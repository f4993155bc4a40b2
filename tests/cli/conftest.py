"""Stand-in of the operators' HTTP interface."""

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
class Seen:
    """A request that arrived."""

    method: str
    path: str
    token: str
    body: typing.Any


class Operators:
    """Answers requests in the order of its scripts, by path."""

    def __init__(self) -> None:
        """Listen on a free loopback port."""
        self.seen: list[Seen] = []
        self._scripts: dict[str, list[tuple[int, object] | None]] = {}
        self._server = http.server.ThreadingHTTPServer(
            ('127.0.0.1', 0), self._handler()
        )
        self.url = f'http://127.0.0.1:{self._server.server_port}'
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(0.02,)
        )
        self._thread.start()

    def answer(self, path: str, *answers: tuple[int, object] | None) -> None:
        """Give answers to a path, the last one for ever.

        None takes the request and breaks the connection.
        """
        self._scripts[path] = list(answers)

    def requests(self, path: str) -> list[Seen]:
        """Return the requests to a path."""
        return [seen for seen in self.seen if seen.path == path]

    def stop(self) -> None:
        """Stop listening."""
        self._server.shutdown()
        self._server.server_close()
        self._thread.join()

    def _next(self, path: str) -> tuple[int, object] | None:
        script = self._scripts.get(path.partition('?')[0])
        if script is None:
            return 404, {'error': 'unknown_path', 'detail': path}
        return script.pop(0) if len(script) > 1 else script[0]

    def _handler(self) -> type[http.server.BaseHTTPRequestHandler]:
        operators = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def do_GET(self) -> None:
                length = int(self.headers.get('content-length', 0))
                body = self.rfile.read(length)
                operators.seen.append(
                    Seen(
                        method=self.command,
                        path=self.path,
                        token=self.headers.get('authorization', ''),
                        body=json.loads(body) if body else None,
                    )
                )
                answer = operators._next(self.path)
                if answer is None:
                    self.close_connection = True
                    return
                payload = json.dumps(answer[1]).encode()
                self.send_response(answer[0])
                self.send_header('content-length', str(len(payload)))
                self.end_headers()
                self.wfile.write(payload)

            do_POST = do_GET

            def log_message(self, *args: object) -> None:
                del args

        return Handler


@pytest.fixture
def operators(monkeypatch: pytest.MonkeyPatch) -> Iterator[Operators]:
    """Return a stand-in whose address and token are in the environment."""
    stand_in = Operators()
    monkeypatch.setenv('SASSAFRASWOOD_DAEMON', stand_in.url)
    monkeypatch.setenv(operator_client.TOKEN_VARIABLE, TOKEN)
    yield stand_in
    stand_in.stop()
