"""Decides for which workspace a call runs."""

import typing

from sassafraswood.models import call
from sassafraswood.models import document
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import records


class KeyLookup(typing.Protocol):
    """Keys as the configuration knows them."""

    def find_key(self, presented: str) -> records.KeyEntry | None:
        """Return the entry of a key, granted or withdrawn."""

    def is_key_valid(self, key_id: ids.KeyId) -> bool:
        """Return whether a key is granted and not withdrawn."""


class StalenessCheck(typing.Protocol):
    """Says whether this daemon may be out of date."""

    def is_stale(self) -> bool:
        """Return whether a withdrawal may have been missed."""


class Authorization:
    """Checks keys when a call arrives and again before it is dispatched."""

    def __init__(self, *, keys: KeyLookup, freshness: StalenessCheck) -> None:
        """Take the keys and the check of their age."""
        self._keys = keys
        self._freshness = freshness

    def authenticate(
        self,
        presented: str | None,
        service_document: document.ServiceDocument,
        route: document.RouteSpec,
    ) -> records.KeyEntry | call.Refusal | None:
        """Return the key of the call, None on an open route, or a refusal.

        An open route needs no key; one that is shown is not looked at, so
        that a withdrawn key does not close an open route.
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
        """Return a refusal if the key of a call is no longer valid."""
        if context.key_id is None:
            return None
        if self._freshness.is_stale():
            return _refuse(enums.RefusalReason.AUTHORIZATION_STALE)
        if not self._keys.is_key_valid(context.key_id):
            return _refuse(enums.RefusalReason.KEY_WITHDRAWN)
        return None


def _refuse(reason: enums.RefusalReason) -> call.Refusal:
    return call.Refusal(reason=reason, outcome=enums.Outcome.NOT_RUN)
