"""Command that prints the version."""

from sassafraswood.cli import options
from sassafraswood.cli import output
from sassafraswood import const


def version(as_json: options.Json = False) -> None:
    """Print the version.

    Example: sassafraswood version
    """
    if as_json:
        output.print_json({'version': const.VERSION})
        return
    output.print_line(const.VERSION)
