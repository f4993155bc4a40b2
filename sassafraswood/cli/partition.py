"""Command that reclaims a partition whose owner and guardian are lost."""

from typing import Annotated

import httpcore
import typer

from sassafraswood.cli import errors
from sassafraswood.cli import operator_client
from sassafraswood.cli import options
from sassafraswood.cli import output
from sassafraswood import const
from sassafraswood.models import ids
from sassafraswood.protocol import operator_api

_CONFIRMATION_PROMPT = (
    'Are the VMs of both the owner and the guardian destroyed? '
    'If one of them still runs, requests may run twice'
)

app = typer.Typer(
    no_args_is_help=True,
    rich_markup_mode=None,
    help='Partitions of a service.',
)


@app.callback()
def root() -> None:
    """Partitions of a service."""


@app.command()
def reclaim(
    service: Annotated[str, typer.Argument(help='Service of the daemon.')],
    partition: Annotated[
        int,
        typer.Argument(min=0, max=const.PARTITIONS_PER_SERVICE - 1),
    ],
    daemon: options.Daemon,
    token_file: options.TokenFile = None,
    yes: Annotated[
        bool,
        typer.Option(
            '--yes', help='Both VMs are destroyed; skip the confirmation.'
        ),
    ] = False,
    as_json: options.Json = False,
) -> None:
    """Claim a partition for the daemon that receives the request.

    Use it only after the VMs of both the owner and the guardian are
    destroyed. The result shows in "status" of the daemon.

    Example: sassafraswood partition reclaim van-booking 1
    """
    client = operator_client.open_client(daemon, token_file)
    if not yes and not _is_confirmed():
        raise errors.BadInputError('not confirmed; nothing was changed')
    request = operator_api.ReclaimRequest(
        service=ids.ServiceName(service), partition=partition
    )
    _raise_if_refused(_send(client, request))
    if as_json:
        output.print_json({'status': 'requested'})
        return
    output.print_line(f'requested: partition {partition} of {service}')


def _is_confirmed() -> bool:
    try:
        # Prompts on standard error, since a script may read standard output.
        return typer.confirm(_CONFIRMATION_PROMPT, err=True)
    except typer.Abort:
        return False


def _send(
    client: operator_client.OperatorClient,
    request: operator_api.ReclaimRequest,
) -> httpcore.Response:
    """Send the request only once, since a retry would claim a new term."""
    try:
        return client.post(
            'partition/reclaim', request, operator_client.READ_TIMEOUT_S
        )
    except errors.OutcomeUnknownError as error:
        raise errors.OutcomeUnknownError(
            f'{error}; check "status" before retrying'
        ) from error


def _raise_if_refused(response: httpcore.Response) -> None:
    if response.status == 409:
        raise errors.RefusedError(operator_client.describe_error(response))
