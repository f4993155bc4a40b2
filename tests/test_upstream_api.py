"""Tests of the helpers for services that run as upstreams."""

import asyncio

import pytest

from sassafraswood import upstream_api


# Guards against answers without a token, whose connections are not reused.
@pytest.mark.parametrize('kind', ['http', 'websocket'])
@pytest.mark.parametrize('fields', [[], [(b'call-token', b't0')]])
def test_middleware_returns_the_token_in_each_answer(kind, fields) -> None:
    """Other headers, and connections of other kinds, are unchanged."""
    sent = []

    async def async_app(scope, receive, send) -> None:
        del scope, receive
        start = {'type': 'http.response.start', 'status': 503}
        await send({**start, 'headers': [(b'call-not-run', b't0')]})
        await send({'type': 'http.response.body', 'body': b'x'})

    async def async_send(message) -> None:
        sent.append(message)

    async def async_receive():
        return {'type': 'http.request'}

    app = upstream_api.CallTokenMiddleware(async_app)
    scope = {'type': kind, 'headers': [(b'accept', b'*/*'), *fields]}
    asyncio.run(app(scope, async_receive, async_send))
    added = fields if kind == 'http' else []
    assert sent[0]['headers'] == [(b'call-not-run', b't0'), *added]
    assert sent[1] == {'type': 'http.response.body', 'body': b'x'}


# Guards against a refusal that counts as an answer with a token although the
# other answers of its upstream have none.
def test_headers_of_a_refusal_do_not_return_the_token() -> None:
    """An upstream returns it with all answers or with none."""
    assert upstream_api.not_run_headers('t0') == [('call-not-run', 't0')]
    assert upstream_api.answer_headers('t0') == [('call-token', 't0')]
