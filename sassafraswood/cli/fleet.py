"""Commands that show the state of a daemon and of the fleet."""

from typing import Any

from sassafraswood.cli import operator_client
from sassafraswood.cli import options
from sassafraswood.cli import output

_MEMBER_COLUMNS = (
    'daemon_id',
    'service',
    'failure_domain',
    'status',
    'upstream_status',
    'slots',
    'is_silent',
)
_DOCUMENT_COLUMNS = ('service', 'revision', 'offset')
_PARTITION_COLUMNS = ('partition', 'term', 'owner', 'guardian', 'is_held')
_STATUS_FIELDS = (
    'version',
    'next_offset',
    'is_log_readable',
    'log_read_age_s',
    'is_authorization_stale',
)
_MEMBER_FIELDS = ('daemon_id', 'service', 'status', 'upstream_status', 'slots')


def status(
    daemon: options.Daemon,
    token_file: options.TokenFile = None,
    as_json: options.Json = False,
) -> None:
    """Show the state of one daemon with its counters.

    Example: sassafraswood status --daemon http://10.0.1.17:8081 --json
    """
    value = _fetch(daemon, token_file, 'status')
    if as_json:
        output.print_json(value)
        return
    member = value.get('member', {})
    fields = [
        (name, _format_cell(member.get(name))) for name in _MEMBER_FIELDS
    ]
    fields += [
        (name, _format_cell(value.get(name))) for name in _STATUS_FIELDS
    ]
    output.print_table(('field', 'value'), fields)
    output.print_line('')
    _print_rows(_DOCUMENT_COLUMNS, value.get('documents', []))
    output.print_line('')
    _print_rows(_PARTITION_COLUMNS, value.get('partitions', []))
    output.print_line('')
    counts = sorted(value.get('counts', {}).items())
    _print_rows(
        ('counter', 'count'),
        [{'counter': name, 'count': count} for name, count in counts],
    )


def fleet(
    daemon: options.Daemon,
    token_file: options.TokenFile = None,
    as_json: options.Json = False,
) -> None:
    """Show the members and documents that one daemon knows.

    Example: sassafraswood fleet --daemon http://10.0.1.17:8081
    """
    value = _fetch(daemon, token_file, 'fleet')
    if as_json:
        output.print_json(value)
        return
    _print_rows(_MEMBER_COLUMNS, value.get('members', []))
    output.print_line('')
    _print_rows(_DOCUMENT_COLUMNS, value.get('documents', []))


def _fetch(daemon: str, token_file: Any, path: str) -> dict[str, Any]:
    client = operator_client.open_client(daemon, token_file)
    # Decodes to a plain dict, so that fields of newer daemons are shown.
    return client.get(path, dict[str, Any], operator_client.READ_TIMEOUT_S)


def _print_rows(columns: tuple[str, ...], rows: list[dict[str, Any]]) -> None:
    output.print_table(
        columns,
        [
            [_format_cell(row.get(column)) for column in columns]
            for row in rows
        ],
    )


def _format_cell(value: object) -> str:
    if value is None:
        return '-'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, float):
        return f'{value:.2f}'
    return str(value)
