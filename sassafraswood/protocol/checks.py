"""Checks that collect every problem of a JSON value."""

from collections.abc import Iterable
import functools
import re
import typing

import msgspec

from sassafraswood import const
from sassafraswood import exceptions

NAME: typing.Final = re.compile(const.NAME_PATTERN)
NAME_ALLOWED: typing.Final = (
    'lower-case letters, digits and inner hyphens, 1 to 63 characters'
)
_SHOWN_CHARACTERS: typing.Final = 60
# Python refuses to print integers of more than 4,300 digits.
_LARGEST_SHOWN_INTEGER: typing.Final = 10**18


def show(value: object) -> str:
    """Return a short text for a JSON value in an error message."""
    if value is None:
        return 'null'
    if isinstance(value, bool):
        return 'true' if value else 'false'
    if isinstance(value, str):
        return ascii(value[:_SHOWN_CHARACTERS])
    if isinstance(value, int):
        if abs(value) > _LARGEST_SHOWN_INTEGER:
            return 'a very large number'
        return str(value)
    if isinstance(value, float):
        return repr(value)
    if isinstance(value, list):
        return 'a list'
    if isinstance(value, dict):
        return 'an object'
    return f'a value of type {type(value).__name__}'


@functools.cache
def _fields_of(struct: type[msgspec.Struct]) -> dict[str, bool]:
    """Return the fields and whether each is required.

    Reading them from the type takes longer than all checks of a route.
    """
    return {
        field.name: field.required for field in msgspec.structs.fields(struct)
    }


class Checker:
    """Collects problems; no method raises."""

    def __init__(self) -> None:
        """Start without problems."""
        self.problems: list[exceptions.Problem] = []

    def add(self, path: str, found: str, allowed: str) -> None:
        """Add a problem."""
        self.problems.append(exceptions.Problem(path, found, allowed))

    def fields(
        self, path: str, value: object, struct: type[msgspec.Struct]
    ) -> dict[str, typing.Any]:
        """Return the known fields of an object.

        Unknown and missing fields are problems.
        """
        if not isinstance(value, dict):
            self.add(path, show(value), 'an object')
            return {}
        known = _fields_of(struct)
        for name in value:
            if name not in known:
                allowed = ', '.join(sorted(known))
                self.add(f'{path}.{show(name)}', 'unknown field', allowed)
        for name, is_required in known.items():
            if is_required and name not in value:
                self.add(f'{path}.{name}', 'nothing', 'a value')
        return {name: value[name] for name in known if name in value}

    def elements(self, path: str, value: object, most: int) -> list:
        """Return the elements of a list of at most so many."""
        if not isinstance(value, list):
            self.add(path, show(value), 'a list')
            return []
        if len(value) > most:
            self.add(path, f'{len(value)} elements', f'at most {most}')
            return []
        return value

    def text(
        self, path: str, value: object, pattern: re.Pattern, allowed: str
    ) -> bool:
        """Check a string against a pattern."""
        if isinstance(value, str) and pattern.fullmatch(value):
            return True
        self.add(path, show(value), allowed)
        return False

    def name(self, path: str, value: object) -> bool:
        """Check a name of a service, workspace or daemon."""
        return self.text(path, value, NAME, NAME_ALLOWED)

    def boolean(self, path: str, value: object) -> None:
        """Check a truth value."""
        if not isinstance(value, bool):
            self.add(path, show(value), 'true or false')

    def word(self, path: str, value: object, words: Iterable[str]) -> None:
        """Check that the value is one of the words."""
        if not isinstance(value, str) or value not in words:
            self.add(path, show(value), 'one of ' + ', '.join(words))

    def integer(self, path: str, value: object, least: int, most: int) -> None:
        """Check an integer and its range."""
        is_integer = isinstance(value, int) and not isinstance(value, bool)
        if not is_integer or not least <= typing.cast(int, value) <= most:
            self.add(path, show(value), f'an integer, {least} to {most}')

    def number(
        self,
        path: str,
        value: object,
        *,
        least: float | None = None,
        above: float | None = None,
        most: float,
    ) -> None:
        """Check a finite number and its range."""
        if isinstance(value, int | float) and not isinstance(value, bool):
            # Comparisons with NaN are false, so it is refused as well.
            if (least is None or value >= least) and value <= most:
                if above is None or value > above:
                    return
        low = f'above {above:g}' if least is None else f'at least {least:g}'
        self.add(path, show(value), f'a number {low} and at most {most:g}')
