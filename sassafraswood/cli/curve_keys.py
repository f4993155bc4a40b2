"""Command that generates the CURVE key pair of a fleet."""

import pathlib
from typing import Annotated

import typer
import zmq

from sassafraswood.cli import errors
from sassafraswood.cli import files
from sassafraswood.cli import output


def curve_keys(
    public_file: Annotated[
        pathlib.Path, typer.Option(help='New file for the public key.')
    ],
    secret_file: Annotated[
        pathlib.Path, typer.Option(help='New file for the secret key.')
    ],
    show_public: Annotated[
        bool, typer.Option('--show-public', help='Print the public key.')
    ] = False,
) -> None:
    """Generate a CURVE key pair for the daemons of a fleet, in Z85.

    Existing files are not overwritten. Only their owner may read the files.

    Example: sassafraswood curve-keys --public-file curve.pub
    --secret-file curve.key
    """
    public, secret = zmq.curve_keypair()
    files.write_private(secret_file, secret.decode())
    try:
        files.write_private(public_file, public.decode())
    except errors.BadInputError:
        # Without its public key the secret key cannot be used.
        secret_file.unlink()
        raise
    if show_public:
        output.print_line(public.decode())
