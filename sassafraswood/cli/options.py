"""Command options that several commands share."""

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
        help='File with the operator token; by default the token is read '
        'from the variable SASSAFRASWOOD_OPERATOR_TOKEN.',
    ),
]
Json = Annotated[
    bool, typer.Option('--json', help='Write the result as JSON.')
]
PublicationId = Annotated[
    str | None,
    typer.Option(
        help='Id of an earlier attempt to retry; by default a new UUIDv7.'
    ),
]
Wait = Annotated[
    bool,
    typer.Option(
        '--wait/--no-wait',
        help='Wait until the change is in force on all daemons.',
    ),
]
WaitTimeout = Annotated[
    float,
    typer.Option(
        '--timeout', min=0.0, max=3600.0, help='Maximum wait in seconds.'
    ),
]

# A change must be in force on all daemons within 11 s (docs/design.md).
DEFAULT_WAIT_S = 11.0
