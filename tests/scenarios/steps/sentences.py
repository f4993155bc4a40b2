"""Reads the sentences of steps."""

import functools

import parse
from pytest_bdd import parsers


@parse.with_pattern(r'[^"]+')
def _name(text: str) -> str:
    """Return a name; it ends at the quote, so that no step takes two."""
    return text


@parse.with_pattern(r'"[^"]+"(?:(?:, | and )"[^"]+")*|each daemon')
def _names(text: str) -> list[str]:
    """Return quoted names such as "a", "b" and "c"; [] for each daemon."""
    return text.split('"')[1::2]


sentence = functools.partial(
    parsers.parse, extra_types={'Name': _name, 'Names': _names}
)
