"""Commands that print JSON Schemas."""

import typer

from sassafraswood.cli import output
from sassafraswood.protocol import documents
from sassafraswood.protocol import settings

app = typer.Typer(
    no_args_is_help=True,
    rich_markup_mode=None,
    help='Print JSON Schemas.',
)


@app.command('document')
def document_schema() -> None:
    """Print the JSON Schema of a service document.

    Example: sassafraswood schema document > document.schema.json
    """
    output.print_json(documents.document_schema())


@app.command('settings')
def settings_schema() -> None:
    """Print the JSON Schema of a settings file.

    Example: sassafraswood schema settings > settings.schema.json
    """
    output.print_json(settings.settings_schema())
