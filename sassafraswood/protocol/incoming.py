"""Conversion of an HTTP request into a call or a refusal."""

import typing

from sassafraswood.coordination import first_daemon
from sassafraswood import exceptions
from sassafraswood.models import call
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import records
from sassafraswood.protocol import headers as headers_module
from sassafraswood.protocol import routes


class DocumentLookup(typing.Protocol):
    """Lookup of the service documents in force."""

    def document(
        self, service: ids.ServiceName
    ) -> records.DocumentEntry | None:
        """Return the document of a service, or None for an unknown service."""


def parse_call(
    documents: DocumentLookup,
    *,
    method: str,
    path: str,
    query: str,
    headers: call.Headers,
    body: bytes,
) -> first_daemon.IncomingCall | call.Refusal:
    """Return the call to `/{service}/{path}`, or a refusal.

    Args:
        documents: Lookup of the service documents in force.
        method: HTTP method.
        path: Path as received, percent-encoded, without the query.
        query: Query without the question mark; empty if there is none.
        headers: Headers as received, with lower-case names.
        body: Complete body.
    """
    service, _, rest = path.removeprefix('/').partition('/')
    entry = documents.document(ids.ServiceName(service))
    if entry is None:
        return _refuse(enums.RefusalReason.UNKNOWN_SERVICE)
    rest = f'/{rest}'
    route = routes.match_route(entry.document, method, rest)
    if route is None:
        return _refuse(enums.RefusalReason.UNKNOWN_ROUTE)
    if len(body) > entry.document.max_body_bytes:
        return _refuse(enums.RefusalReason.BODY_TOO_LARGE)
    idempotent = routes.is_idempotent(route, method)
    try:
        return first_daemon.IncomingCall(
            entry=entry,
            route=route,
            importance=routes.get_importance(route),
            idempotent=idempotent,
            request=call.HttpRequest(
                method=method,
                target=f'{rest}?{query}' if query else rest,
                headers=headers_module.to_upstream(headers),
                body=body,
            ),
            key=None
            if route.open
            else headers_module.parse_bearer_key(headers),
            timeout_s=headers_module.parse_timeout_s(headers),
            idempotency_key=headers_module.parse_idempotency_key(headers),
        )
    except exceptions.HeaderError as error:
        return call.Refusal(
            reason=error.reason,
            outcome=enums.Outcome.NOT_RUN,
            detail=str(error),
        )


def _refuse(reason: enums.RefusalReason) -> call.Refusal:
    return call.Refusal(reason=reason, outcome=enums.Outcome.NOT_RUN)
