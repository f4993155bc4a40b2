"""Options that several commands share."""

import pathlib
from typing import Annotated

import typer

Daemon = Annotated[
    str,
    typer.Option(
        '--daemon',
        envvar='SASSAFRASWOOD_DAEMON',
        metavar='URL',
        help="The daemon's local_listen, as http://host:port.",
    ),
]
TokenFile = Annotated[
    pathlib.Path | None,
    typer.Option(
        help='File with the operator token; without it, the variable '
        'SASSAFRASWOOD_OPERATOR_TOKEN.',
    ),
]
Json = Annotated[
    bool, typer.Option('--json', help='Write the result as JSON.')
]
PublicationId = Annotated[
    str | None,
    typer.Option(
        help='Repeats an earlier attempt under its id; a new UUIDv7 without.'
    ),
]
Wait = Annotated[
    bool,
    typer.Option(
        '--wait/--no-wait', help='Wait until it is in force on all daemons.'
    ),
]
WaitTimeout = Annotated[
    float,
    typer.Option(
        '--timeout', min=0.0, max=3600.0, help='Longest wait in seconds.'
    ),
]

# Changes have to be in force everywhere within 11 s (docs/design.md).
DEFAULT_WAIT_S = 11.0
