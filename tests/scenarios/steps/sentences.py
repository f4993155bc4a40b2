"""Parses the sentences of steps."""

import functools

import parse
from pytest_bdd import parsers


@parse.with_pattern(r'[^"]+')
def _name(text: str) -> str:
    """Return a name; it ends at the quote, so it cannot span two names."""
    return text


@parse.with_pattern(r'"[^"]+"(?:(?:, | and )"[^"]+")*|each daemon')
def _names(text: str) -> list[str]:
    """Return the names in text such as "a", "b" and "c".

    The list is empty for "each daemon".
    """
    return text.split('"')[1::2]


sentence = functools.partial(
    parsers.parse, extra_types={'Name': _name, 'Names': _names}
)
