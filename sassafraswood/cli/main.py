"""Command line of sassafraswood."""

from collections.abc import Sequence
import sys

import typer

# typer exports no common base class of its usage errors.
from typer._click import exceptions as usage_errors

from sassafraswood.cli import check
from sassafraswood.cli import curve_keys
from sassafraswood.cli import errors
from sassafraswood.cli import exit_codes
from sassafraswood.cli import explain
from sassafraswood.cli import fleet
from sassafraswood.cli import key
from sassafraswood.cli import output
from sassafraswood.cli import partition
from sassafraswood.cli import publish
from sassafraswood.cli import run
from sassafraswood.cli import schema
from sassafraswood.cli import sidecar
from sassafraswood.cli import version
from sassafraswood import exceptions

# Formatted tracebacks print local variables, which may hold secrets.
app = typer.Typer(
    no_args_is_help=True,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)


@app.callback()
def root() -> None:
    """Overload control layer for service call graphs.

    Exit codes: 0 done, 2 bad input, 3 unavailable, 4 refused, 5 outcome
    unknown, 6 accepted but not in force everywhere in time, 7 a check has
    findings.

    Example: sassafraswood check settings settings.json
    """


app.command()(run.run)
app.command()(sidecar.sidecar)
app.command()(explain.explain)
app.add_typer(check.app, name='check')
app.add_typer(schema.app, name='schema')
app.command()(publish.publish)
app.add_typer(key.app, name='key')
app.add_typer(partition.app, name='partition')
app.command()(fleet.status)
app.command()(fleet.fleet)
app.command()(curve_keys.curve_keys)
app.command()(version.version)


def run_command(arguments: Sequence[str] | None = None) -> int:
    """Run one command line and return its exit code.

    Args:
        arguments: Arguments without the program name; None uses those of
            the process.
    """
    try:
        code = app(arguments, prog_name='sassafraswood', standalone_mode=False)
    except errors.CommandError as error:
        output.print_error(str(error))
        return error.exit_code
    except exceptions.InvalidInputError as error:
        for problem in error.problems:
            output.print_error(str(problem))
        return exit_codes.ExitCode.BAD_INPUT
    except usage_errors.NoArgsIsHelpError as error:
        error.show()
        return exit_codes.ExitCode.BAD_INPUT
    except usage_errors.ClickException as error:
        output.print_error(error.format_message())
        return exit_codes.ExitCode.BAD_INPUT
    except typer.Abort:
        output.print_error('aborted')
        return exit_codes.ExitCode.BAD_INPUT
    return code if isinstance(code, int) else exit_codes.ExitCode.DONE


def main() -> None:
    """Run the command line of the process and exit with its code."""
    sys.exit(run_command())
