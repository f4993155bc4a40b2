"""HTTP application for the upstream and for operators."""

from collections.abc import Callable
import hmac
from typing import Any
from typing import TypeVar

import msgspec

from sassafraswood import const
from sassafraswood.coordination import publishing
from sassafraswood.coordination import upstream_lifecycle
from sassafraswood import exceptions
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import records
from sassafraswood.protocol import documents
from sassafraswood.protocol import operator_api
from sassafraswood.transport import caller_app
from sassafraswood.transport import http_server

_T = TypeVar('_T')
_MAX_BODY_BYTES = const.MAX_BODY_BYTES


class LocalApp:
    """Serves `/call`, `/upstream` and `/operator`."""

    def __init__(
        self,
        *,
        callers: caller_app.CallerApp,
        lifecycle: upstream_lifecycle.UpstreamLifecycle,
        publisher: publishing.Publisher,
        operator_token: str,
        next_offset: Callable[[], int],
        status: Callable[[], Any],
        fleet: Callable[[], Any],
        behind: Callable[[int], list[ids.DaemonId]],
        reclaim: Callable[[ids.ServiceName, int], str | None],
    ) -> None:
        """Create the application.

        Args:
            callers: Serves `/call`.
            lifecycle: State of the upstream, changed by `/upstream`.
            publisher: Publishes documents and keys.
            operator_token: Bearer token that `/operator` requires.
            next_offset: Returns the offset after the last applied record.
            status: Returns the status of this daemon.
            fleet: Returns the status of the fleet.
            behind: Returns the daemons that have not applied an offset.
            reclaim: Reclaims a partition; returns a text if it cannot.
        """
        self._callers = callers
        self._lifecycle = lifecycle
        self._publisher = publisher
        self._operator_token = operator_token.encode()
        self._next_offset = next_offset
        self._status = status
        self._fleet = fleet
        self._behind = behind
        self._reclaim = reclaim

    async def async_serve(
        self,
        scope: http_server.Scope,
        receive: http_server.Receive,
        send: http_server.Send,
    ) -> None:
        """Serve a request of the upstream or of an operator."""
        if scope['type'] != 'http':
            return
        path = scope['raw_path'].decode('latin-1')
        if path.startswith('/call/'):
            await self._callers.async_serve_child(
                scope, receive, send, path[5:]
            )
            return
        try:
            body = await http_server.async_read_body(receive, _MAX_BODY_BYTES)
        except http_server.BodyTooLargeError:
            await _async_send_error(send, 413, 'body_too_large', '')
            return
        except http_server.CallerDisconnectedError:
            return
        try:
            await self._async_route(scope, path, body, send)
        except msgspec.MsgspecError as error:
            await _async_send_error(send, 400, 'malformed', str(error))
        except exceptions.DocumentError as error:
            await _async_send_error(send, 422, 'invalid_document', str(error))
        except exceptions.LogOutcomeUnknownError as error:
            await _async_send_error(
                send, 504, 'log_outcome_unknown', str(error)
            )
        except exceptions.LogError as error:
            await _async_send_error(send, 503, 'log_unavailable', str(error))

    async def _async_route(
        self,
        scope: http_server.Scope,
        path: str,
        body: bytes,
        send: http_server.Send,
    ) -> None:
        if path.startswith('/upstream/') and scope['method'] == 'POST':
            await self._async_serve_upstream(path, body, send)
            return
        if not path.startswith('/operator/'):
            await _async_send_error(send, 404, 'unknown_path', path)
            return
        if not self._is_operator(scope):
            await _async_send_error(send, 401, 'operator_token_wrong', '')
            return
        if scope['method'] == 'GET':
            await self._async_serve_operator_get(scope, path, send)
            return
        await self._async_serve_operator_change(path, body, send)

    def _is_operator(self, scope: http_server.Scope) -> bool:
        for name, value in scope['headers']:
            if name == b'authorization':
                expected = b'Bearer ' + self._operator_token
                return hmac.compare_digest(value, expected)
        return False

    async def _async_serve_upstream(
        self, path: str, body: bytes, send: http_server.Send
    ) -> None:
        if path == '/upstream/announce':
            announce = _decode(body, operator_api.AnnounceRequest)
            if announce.slots < 1 or ':' not in announce.address:
                await _async_send_error(
                    send,
                    400,
                    'malformed',
                    'slots must be at least 1 and address must be host:port',
                )
                return
            self._lifecycle.announce(
                announce.address, announce.slots, announce.instance
            )
        elif path == '/upstream/drain':
            self._lifecycle.drain()
        elif path == '/upstream/leave':
            self._lifecycle.leave()
        else:
            await _async_send_error(send, 404, 'unknown_path', path)
            return
        await _async_send_json(send, 200, {'status': self._lifecycle.status})

    async def _async_serve_operator_get(
        self, scope: http_server.Scope, path: str, send: http_server.Send
    ) -> None:
        if path == '/operator/status':
            await _async_send_json(send, 200, self._status())
        elif path == '/operator/fleet':
            await _async_send_json(send, 200, self._fleet())
        elif path == '/operator/behind':
            query = scope['query_string'].decode('latin-1')
            name, _, value = query.partition('=')
            if name != 'offset' or not value.isdigit():
                await _async_send_error(send, 400, 'malformed', 'offset=N')
                return
            await _async_send_json(
                send, 200, {'behind': self._behind(int(value))}
            )
        else:
            await _async_send_error(send, 404, 'unknown_path', path)

    async def _async_serve_operator_change(
        self, path: str, body: bytes, send: http_server.Send
    ) -> None:
        if path == '/operator/partition/reclaim':
            request = _decode(body, operator_api.ReclaimRequest)
            failure = self._reclaim(request.service, request.partition)
            if failure is not None:
                await _async_send_error(send, 409, 'not_reclaimable', failure)
                return
            await _async_send_json(send, 202, {'status': 'requested'})
            return
        publication = _decode_publication(path, body)
        if publication is None:
            await _async_send_error(send, 404, 'unknown_path', path)
            return
        entry = await self._publisher.async_publish(publication)
        result = operator_api.PublicationResult(
            status=entry.status,
            revision=entry.revision,
            detail=entry.detail,
            offset=self._next_offset() - 1,
        )
        is_accepted = entry.status is enums.PublicationStatus.ACCEPTED
        await _async_send_json(send, 200 if is_accepted else 409, result)


def _decode_publication(
    path: str, body: bytes
) -> publishing.Publication | None:
    if path == '/operator/publish':
        publish = _decode(body, operator_api.PublishRequest)
        checked = documents.check_document(publish.document)
        return records.Publish(
            publication_id=publish.publication_id,
            service=checked.service,
            replaces=publish.replaces,
            document=publish.document,
        )
    if path == '/operator/keys/grant':
        grant = _decode(body, operator_api.GrantRequest)
        return records.GrantKey(
            publication_id=grant.publication_id,
            key_id=grant.key_id,
            workspace=grant.workspace,
            key_sha256=grant.key_sha256,
        )
    if path == '/operator/keys/withdraw':
        withdraw = _decode(body, operator_api.WithdrawRequest)
        return records.WithdrawKey(
            publication_id=withdraw.publication_id, key_id=withdraw.key_id
        )
    return None


def _decode(body: bytes, kind: type[_T]) -> _T:
    return msgspec.json.decode(body, type=kind)


async def _async_send_json(
    send: http_server.Send, status: int, value: object
) -> None:
    await http_server.async_send(
        send,
        status,
        [('content-type', 'application/json')],
        msgspec.json.encode(value),
    )


async def _async_send_error(
    send: http_server.Send, status: int, error: str, detail: str
) -> None:
    await _async_send_json(
        send, status, operator_api.ErrorResult(error=error, detail=detail)
    )
