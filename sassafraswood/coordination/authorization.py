"""Authentication of calls by key."""

import typing

from sassafraswood.models import call
from sassafraswood.models import document
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import records


class KeyLookup(typing.Protocol):
    """Read access to the keys of the configuration."""

    def find_key(self, presented: str) -> records.KeyEntry | None:
        """Return the entry of a key, granted or withdrawn, or None."""

    def is_key_valid(self, key_id: ids.KeyId) -> bool:
        """Return whether a key was granted and has not been withdrawn."""


class StalenessCheck(typing.Protocol):
    """Check whether the known keys may be out of date."""

    def is_stale(self) -> bool:
        """Return whether this daemon may have missed a withdrawal."""


class Authorization:
    """Checks the key of a call on arrival and again before dispatch."""

    def __init__(self, *, keys: KeyLookup, freshness: StalenessCheck) -> None:
        """Initialize the checks.

        Args:
            keys: Keys that were granted or withdrawn.
            freshness: Check whether the keys may be out of date.
        """
        self._keys = keys
        self._freshness = freshness

    def authenticate(
        self,
        presented: str | None,
        service_document: document.ServiceDocument,
        route: document.RouteSpec,
    ) -> records.KeyEntry | call.Refusal | None:
        """Return the key of a call, None on an open route, or a refusal.

        A key that is presented on an open route is ignored, so that callers
        with a withdrawn key can still use the route.

        Args:
            presented: The key that the caller presents, None without key.
            service_document: Document of the called service.
            route: Route of the call.
        """
        if route.open:
            return None
        if presented is None:
            return _refuse(enums.RefusalReason.KEY_MISSING)
        if self._freshness.is_stale():
            return _refuse(enums.RefusalReason.AUTHORIZATION_STALE)
        entry = self._keys.find_key(presented)
        if entry is None:
            return _refuse(enums.RefusalReason.KEY_UNKNOWN)
        if entry.withdrawn:
            return _refuse(enums.RefusalReason.KEY_WITHDRAWN)
        if entry.workspace not in service_document.workspaces:
            return _refuse(enums.RefusalReason.WORKSPACE_NOT_ALLOWED)
        return entry

    def recheck(self, context: call.CallContext) -> call.Refusal | None:
        """Return a refusal if the key of a call is not valid any more."""
        if context.key_id is None:
            return None
        if self._freshness.is_stale():
            return _refuse(enums.RefusalReason.AUTHORIZATION_STALE)
        if not self._keys.is_key_valid(context.key_id):
            return _refuse(enums.RefusalReason.KEY_WITHDRAWN)
        return None


def _refuse(reason: enums.RefusalReason) -> call.Refusal:
    return call.Refusal(reason=reason, outcome=enums.Outcome.NOT_RUN)
