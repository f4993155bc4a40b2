"""Commands that validate files without contacting a daemon."""

from collections.abc import Callable
import dataclasses
import os
import pathlib
from typing import Annotated

import typer

from sassafraswood.cli import exit_codes
from sassafraswood.cli import files
from sassafraswood.cli import options
from sassafraswood.cli import output
from sassafraswood.coordination import rules_review
from sassafraswood import exceptions
from sassafraswood.models import traffic
from sassafraswood.platform import rules as platform_rules
from sassafraswood.platform import settings as platform_settings
from sassafraswood.protocol import documents
from sassafraswood.protocol import settings as settings_module

app = typer.Typer(
    no_args_is_help=True,
    rich_markup_mode=None,
    help='Check files without contacting a daemon.',
)

File = Annotated[pathlib.Path, typer.Argument(help='File to check.')]


@app.command('settings')
def check_settings(file: File, as_json: options.Json = False) -> None:
    """Check a settings file and the secrets that it names.

    Example: sassafraswood check settings settings.json
    """
    _check_file(lambda: load_settings(file), file, as_json)


@app.command('platform-settings')
def check_platform_settings(file: File, as_json: options.Json = False) -> None:
    """Check a settings file of the platform.

    Example: sassafraswood check platform-settings boot.toml
    """
    _check_file(
        lambda: platform_settings.parse(files.read_text(file)), file, as_json
    )


@app.command('document')
def check_document(file: File, as_json: options.Json = False) -> None:
    """Check a service document.

    Example: sassafraswood check document van-booking.json
    """
    _check_file(
        lambda: documents.check_document(files.read_json(file)), file, as_json
    )


@app.command('rules')
def check_rules(
    file: File,
    in_force: Annotated[
        pathlib.Path | None,
        typer.Option(help='Rules that are in force, to be compared.'),
    ] = None,
    as_json: options.Json = False,
) -> None:
    """Check traffic rules of the platform before they are published.

    Lists errors, entries that no request can match, limits that contradict
    each other, and what differs from the rules in force. The exit code is 7
    if there is any of these but differences, and 2 after errors.

    Example: sassafraswood check rules new.json --in-force config.json
    """
    rules = _load_rules(file)
    findings = rules_review.review(rules)
    if in_force is not None:
        findings += rules_review.compare(rules, _load_rules(in_force))
    if as_json:
        output.print_json([dataclasses.asdict(item) for item in findings])
    else:
        for item in findings:
            output.print_line(f'{item.kind}: {item.path}: {item.text}')
        output.print_line(f'{file}: valid, {len(findings)} findings')
    if any(
        item.kind is not rules_review.FindingKind.CHANGE for item in findings
    ):
        raise typer.Exit(exit_codes.ExitCode.FINDINGS)


def _load_rules(path: pathlib.Path) -> traffic.TrafficRules:
    """Return the traffic rules in a file.

    Raises:
        InvalidInputError: The rules are invalid; the error lists all problems.
        BadInputError: The file is not readable.
    """
    document = files.read_text(path).encode()
    problems = platform_rules.find_problems(document)
    if problems:
        raise exceptions.InvalidInputError(problems)
    return platform_rules.decode(document)


def load_settings(path: pathlib.Path) -> settings_module.Settings:
    """Return the settings in a file, with the secrets that it names.

    Raises:
        SettingsError: The settings or a secret are invalid.
        BadInputError: The file is not readable.
    """
    return settings_module.load_settings(
        files.read_text(path),
        os.environ,
        lambda secret_path: pathlib.Path(secret_path).read_text(),
    )


def _check_file(
    load: Callable[[], object], path: pathlib.Path, as_json: bool
) -> None:
    problems: list[exceptions.Problem] = []
    try:
        load()
    except exceptions.InvalidInputError as error:
        problems = error.problems
        raise
    finally:
        if as_json:
            _print_problems(problems)
    if not as_json:
        output.print_line(f'{path}: valid')


def _print_problems(problems: list[exceptions.Problem]) -> None:
    output.print_json(
        {
            'is_valid': not problems,
            'problems': [
                {
                    'path': problem.path,
                    'found': problem.found,
                    'allowed': problem.allowed,
                }
                for problem in problems
            ],
        }
    )
