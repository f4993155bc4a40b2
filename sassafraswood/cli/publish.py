"""Command that publishes a service document."""

import pathlib
from typing import Annotated
from typing import cast

import typer

from sassafraswood.cli import files
from sassafraswood.cli import operator_client
from sassafraswood.cli import options
from sassafraswood.cli import publication
from sassafraswood.models import ids
from sassafraswood.protocol import documents
from sassafraswood.protocol import operator_api


def publish(
    file: Annotated[pathlib.Path, typer.Argument(help='Service document.')],
    replaces: Annotated[
        int,
        typer.Option(
            min=0, help='Revision that the document replaces; 0 if none.'
        ),
    ],
    daemon: options.Daemon,
    token_file: options.TokenFile = None,
    publication_id: options.PublicationId = None,
    wait: options.Wait = True,
    timeout: options.WaitTimeout = options.DEFAULT_WAIT_S,
    as_json: options.Json = False,
) -> None:
    """Publish a service document.

    Retry an attempt of unknown outcome with its publication id, which is
    applied only once.

    Example: sassafraswood publish van-booking.json --replaces 3
    """
    identifier = publication.check_id(publication_id)
    value = files.read_json(file)
    documents.check_document(value)
    publication.publish(
        operator_client.open_client(daemon, token_file),
        'publish',
        operator_api.PublishRequest(
            publication_id=identifier,
            replaces=ids.Revision(replaces),
            document=cast(dict, value),
        ),
        identifier,
        publication.WaitOptions(
            timeout_s=timeout if wait else None, as_json=as_json
        ),
    )
