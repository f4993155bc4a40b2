"""Validation of JSON values that collects all problems found."""

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
_MAX_SHOWN_CHARACTERS: typing.Final = 60
# Python raises ValueError on printing integers of more than 4,300 digits.
_MAX_SHOWN_INTEGER: typing.Final = 10**18


def describe_value(value: object) -> str:
    """Return a short description of a JSON value for error messages."""
    if value is None:
        return 'null'
    if isinstance(value, bool):
        return 'true' if value else 'false'
    if isinstance(value, str):
        return ascii(value[:_MAX_SHOWN_CHARACTERS])
    if isinstance(value, int):
        if abs(value) > _MAX_SHOWN_INTEGER:
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
def _required_by_field(struct: type[msgspec.Struct]) -> dict[str, bool]:
    """Return the field names of a type and whether each is required.

    Cached, because inspecting the type takes longer than validating a route.
    """
    return {
        field.name: field.required for field in msgspec.structs.fields(struct)
    }


class Checker:
    """Validates values and collects the problems found.

    No method raises an exception for an invalid value. Paths are JSONPath
    expressions such as `$.routes[0].path`.

    Attributes:
        problems: Problems found so far, in the order of the checks.
    """

    def __init__(self) -> None:
        """Initialize the checker without problems."""
        self.problems: list[exceptions.Problem] = []

    def add(self, path: str, found: str, allowed: str) -> None:
        """Add a problem.

        Args:
            path: Path of the value.
            found: Description of the value.
            allowed: Description of the values that are valid.
        """
        self.problems.append(exceptions.Problem(path, found, allowed))

    def fields(
        self, path: str, value: object, struct: type[msgspec.Struct]
    ) -> dict[str, typing.Any]:
        """Return the fields of an object that the type defines.

        Unknown fields and missing required fields are added as problems.
        """
        if not isinstance(value, dict):
            self.add(path, describe_value(value), 'an object')
            return {}
        known = _required_by_field(struct)
        for name in value:
            if name not in known:
                allowed = ', '.join(sorted(known))
                self.add(
                    f'{path}.{describe_value(name)}', 'unknown field', allowed
                )
        for name, is_required in known.items():
            if is_required and name not in value:
                self.add(f'{path}.{name}', 'nothing', 'a value')
        return {name: value[name] for name in known if name in value}

    def elements(self, path: str, value: object, most: int) -> list:
        """Return the elements of a list.

        Returns an empty list for a value that is no list or that has more
        than `most` elements.
        """
        if not isinstance(value, list):
            self.add(path, describe_value(value), 'a list')
            return []
        if len(value) > most:
            self.add(path, f'{len(value)} elements', f'at most {most}')
            return []
        return value

    def text(
        self, path: str, value: object, pattern: re.Pattern, allowed: str
    ) -> bool:
        """Check a string against a pattern; return whether it matches."""
        if isinstance(value, str) and pattern.fullmatch(value):
            return True
        self.add(path, describe_value(value), allowed)
        return False

    def name(self, path: str, value: object) -> bool:
        """Check the name of a service, workspace or daemon."""
        return self.text(path, value, NAME, NAME_ALLOWED)

    def boolean(self, path: str, value: object) -> None:
        """Check that the value is a boolean."""
        if not isinstance(value, bool):
            self.add(path, describe_value(value), 'true or false')

    def word(self, path: str, value: object, words: Iterable[str]) -> None:
        """Check that the value is one of the allowed strings."""
        if not isinstance(value, str) or value not in words:
            self.add(path, describe_value(value), 'one of ' + ', '.join(words))

    def integer(self, path: str, value: object, least: int, most: int) -> None:
        """Check that the value is an integer from `least` to `most`."""
        is_integer = isinstance(value, int) and not isinstance(value, bool)
        if not is_integer or not least <= typing.cast(int, value) <= most:
            self.add(
                path, describe_value(value), f'an integer, {least} to {most}'
            )

    def number(
        self,
        path: str,
        value: object,
        *,
        least: float | None = None,
        above: float | None = None,
        most: float,
    ) -> None:
        """Check that the value is a finite number within the bounds.

        Args:
            path: Path of the value.
            value: Value to check.
            least: Inclusive lower bound; takes precedence in the message.
            above: Exclusive lower bound.
            most: Inclusive upper bound.
        """
        if isinstance(value, int | float) and not isinstance(value, bool):
            # Comparisons with NaN are false, so NaN is invalid as well.
            if (least is None or value >= least) and value <= most:
                if above is None or value > above:
                    return
        low = f'above {above:g}' if least is None else f'at least {least:g}'
        self.add(
            path, describe_value(value), f'a number {low} and at most {most:g}'
        )
