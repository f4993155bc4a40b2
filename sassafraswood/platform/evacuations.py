"""Decoding of the operator's requests to evacuate failure domains."""

from collections.abc import Iterable
from typing import Final

from sassafraswood.coordination import evacuation
from sassafraswood.models import ids
from sassafraswood.platform import store

_KEY_PREFIX: Final = 'evacuate/'


def decode(
    records: Iterable[store.StoredRecord],
) -> list[evacuation.EvacuationRequest]:
    """Return the requests among the records of the operator's topic.

    The presence of a value is the request, whatever it holds. A key that
    names no failure domain is ignored.
    """
    return [
        evacuation.EvacuationRequest(
            domain=ids.FailureDomain(record.key[len(_KEY_PREFIX) :]),
            is_evacuated=bool(record.value),
        )
        for record in records
        if record.key.startswith(_KEY_PREFIX)
        and len(record.key) > len(_KEY_PREFIX)
    ]
