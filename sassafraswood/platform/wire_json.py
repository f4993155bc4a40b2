"""Decoding of JSON values of the platform.

Other programs may have written the values, so every number is range-checked.
"""

from typing import Annotated, Final, TypeVar

import msgspec

from sassafraswood import exceptions

ValueT = TypeVar('ValueT')
# Concurrent requests of an upstream; the largest accept a few hundred.
MAX_SLOTS: Final = 1_000_000
# Largest integer that messages between daemons may hold.
MAX_INTEGER: Final = 2**63 - 1
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]


def decode(decoder: msgspec.json.Decoder[ValueT], value: bytes) -> ValueT:
    """Return the value that JSON bytes hold.

    Raises:
        DecodeError: The bytes are not JSON, do not have the decoder's type,
            or are nested too deeply.
    """
    try:
        return decoder.decode(value)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise exceptions.DecodeError(str(error)) from error
