"""Tests of the check of traffic rules before they are published."""

import json

from sassafraswood.cli import exit_codes
from sassafraswood.cli import main


def build_rules(version: int = 5, **changes: dict) -> dict:
    """Return rules without findings, with tables replaced."""
    route = {
        'host': 'shop.example',
        'path-prefix': '/a/',
        'kind': 'safe',
        'timeout-s': 2.0,
        'latency-target-s': 1.0,
        'service': 'status',
    }
    return {
        'version': f'r{version}',
        'routes': {'a': route},
        'services': {'status': {}},
        'limits': {},
        'tenants': {'blue': {'api-keys': ['secret-1']}},
    } | changes


def check(capsys, tmp_path, *documents: dict) -> tuple[int, list[str]]:
    """Check rules, against others if given; return exit code and lines."""
    paths = []
    for index, document in enumerate(documents):
        path = tmp_path / f'{index}.json'
        path.write_text(json.dumps(document))
        paths.append(str(path))
    arguments = ['check', 'rules', paths[0]]
    if len(paths) > 1:
        arguments += ['--in-force', paths[1]]
    code = main.run_command(arguments)
    captured = capsys.readouterr()
    assert 'secret' not in captured.out + captured.err
    return code, (captured.out + captured.err).splitlines()[:-1]


def test_rules_without_findings(capsys, tmp_path) -> None:
    """Guards against a check that warns of ordinary rules."""
    assert check(capsys, tmp_path, build_rules()) == (0, [])


def test_all_errors_are_listed(capsys, tmp_path) -> None:
    """Guards against a check that stops at the first error."""
    rules = build_rules()
    rules['routes'] |= {'b': {'host': 3}, 'c': {}}
    code, lines = check(capsys, tmp_path, rules)
    assert code == exit_codes.ExitCode.BAD_INPUT
    assert '$.routes.b' in lines[0]


def test_entries_that_never_match_and_contradictions(capsys, tmp_path) -> None:
    """Each entry has one finding."""
    route = build_rules()['routes']['a']
    rules = build_rules(
        routes={
            'a': route,
            'same': route,
            'open-end': route | {'path-prefix': '/b'},
            'late': route | {'path-prefix': '/c/', 'latency-target-s': 9},
            'gone': route | {'path-prefix': '/d/', 'service': 'none'},
        },
        tenants={
            'blue': {'api-keys': ['secret-1'], 'rate-per-s': 5},
            'red': {'api-keys': []},
        },
    )
    code, lines = check(capsys, tmp_path, rules)
    assert code == exit_codes.ExitCode.FINDINGS
    assert [line.split(': ')[:2] for line in lines] == [
        ['never matches', 'routes.a'],
        ['never matches', 'routes.open-end'],
        ['contradiction', 'routes.late'],
        ['contradiction', 'routes.gone'],
        ['contradiction', 'workspaces.blue'],
        ['never matches', 'workspaces.red'],
    ]


def test_differences_are_no_findings(capsys, tmp_path) -> None:
    """They are listed by entry, and keys are counted."""
    after = build_rules(6, tenants={'blue': {'api-keys': ['secret-2']}})
    after['routes']['a'] = after['routes']['a'] | {'timeout-s': 3.0}
    code, lines = check(capsys, tmp_path, after, build_rules())
    assert code == 0
    assert lines == [
        'change: routes.a: timeout_s: 2.0 -> 3.0',
        'change: workspaces.blue: keys: 1 added, 1 withdrawn',
    ]
    code, lines = check(capsys, tmp_path, build_rules(), build_rules())
    assert code == exit_codes.ExitCode.FINDINGS
    assert lines[0].startswith('contradiction: version: ')
