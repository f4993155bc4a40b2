"""Decoding of JSON values of the platform.

Other writers may have written them, so every number has a range.
"""

from typing import Annotated, Final, TypeVar

import msgspec

from sassafraswood import exceptions

ValueT = TypeVar('ValueT')
# Requests that an upstream takes at once; the largest have a few hundred.
MAX_SLOTS: Final = 1_000_000
# Numbers up to this fit into the messages between daemons.
MAX_INTEGER: Final = 2**63 - 1
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]


def decode(decoder: msgspec.json.Decoder[ValueT], value: bytes) -> ValueT:
    """Return a value.

    Raises:
        DecodeError: The bytes are no JSON, not of the decoder's type, or
            nested too deeply.
    """
    try:
        return decoder.decode(value)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise exceptions.DecodeError(str(error)) from error
