"""Measures how the cost of a daemon scales, on a fleet on one machine.

Run with: script/python -m lab.capacity [--quick] [--json FILE]

Costs are processor time, memory, messages and bytes. Each slope is a line
fitted to at least four points; docs/CAPACITY.md extrapolates to larger fleets.
"""

from collections.abc import Callable
import dataclasses
import json
import os
import pathlib
import time
import typing

import typer

from lab import capacity_calls
from lab import capacity_fleet
from lab import capacity_idle
from lab import line_fit
from lab import wire_cost

SLOPES: typing.Final[
    dict[str, tuple[Callable[[bool], list[capacity_fleet.Point]], str]]
] = {
    'fleet': (capacity_idle.measure_fleet, 'daemons'),
    'rollout': (capacity_idle.measure_rollout, 'daemons'),
    'documents': (capacity_idle.measure_documents, 'documents'),
    'workspaces': (capacity_idle.measure_workspaces, 'workspaces'),
    'snapshots': (capacity_idle.measure_snapshots, 'snapshots'),
    'calls': (capacity_calls.measure_calls, 'calls_per_s'),
    'open_calls': (capacity_calls.measure_open_calls, 'calls_per_s'),
    'limits': (capacity_calls.measure_limits, 'limits'),
    'depth': (capacity_calls.measure_depth, 'hops'),
}
DEFAULT_DIRECTORY: typing.Final = pathlib.Path('docs/capacity')


_PLOTTED_FIGURES: typing.Final = {
    'fleet': ('cpu_percent', 'wire_bytes_per_s'),
    'documents': ('private_mb',),
    'workspaces': ('private_mb',),
    'snapshots': ('start_to_tail_s', 'start_resident_mb'),
    'calls': ('first_cpu_ms_per_s', 'quota_bytes_per_s'),
    'open_calls': ('first_cpu_ms_per_s',),
    'limits': ('first_cpu_ms_per_s', 'quota_bytes_per_s'),
    'depth': ('cpu_ms_per_call', 'p50_ms'),
}


def fit_figures(
    points: list[capacity_fleet.Point], x_name: str
) -> dict[str, line_fit.Fit]:
    """Fit a line to each figure that all points have."""
    names = [
        name
        for name in points[0]
        if name != x_name and all(name in point for point in points)
    ]
    xs = [point[x_name] for point in points]
    return {
        name: line_fit.fit_line(xs, [point[name] for point in points])
        for name in names
    }


def _print_slope(
    slope: str,
    x_name: str,
    points: list[capacity_fleet.Point],
    fits: dict[str, line_fit.Fit],
) -> None:
    print(f'\n{slope}: points by {x_name}')
    for name in points[0]:
        values = '  '.join(f'{point.get(name, 0.0):10.4g}' for point in points)
        print(f'  {name:32} {values}')
    print('  fit (ordinary least squares): intercept, slope, rms residual')
    for name, fit in fits.items():
        print(
            f'  {name:32} {fit.intercept:10.4g}  {fit.slope:10.4g}  '
            f'{fit.residual:10.4g}'
        )


def _write_slope(
    directory: pathlib.Path,
    slope: str,
    x_name: str,
    result: dict[str, typing.Any],
) -> None:
    directory.mkdir(parents=True, exist_ok=True)
    path = directory / f'{slope}.json'
    path.write_text(json.dumps(result, indent=2) + '\n')
    points = result['points']
    xs = [point[x_name] for point in points]
    for y_name, fit in result['fits'].items():
        if y_name not in _PLOTTED_FIGURES.get(slope, ()):
            continue
        plot = line_fit.plot_svg(
            xs,
            [point[y_name] for point in points],
            line_fit.Fit(**fit),
            x_name=x_name,
            y_name=y_name,
        )
        (directory / f'{slope}_{y_name}.svg').write_text(plot)


def main(
    quick: bool = False,
    json_file: typing.Annotated[
        pathlib.Path | None, typer.Option('--json')
    ] = None,
    slope: list[str] = list(SLOPES),
    directory: pathlib.Path | None = None,
) -> None:
    """Measure slopes of the cost of daemons.

    Args:
        quick: Use shorter windows and smaller fleets, to try the program.
        json_file: File to which all results are written as well.
        slope: Slopes to measure.
        directory: Directory in which to write the files of each slope. The
            default is docs/capacity, or none if quick.
    """
    if directory is None and not quick:
        directory = DEFAULT_DIRECTORY
    cost = wire_cost.measure()
    print(
        f'CURVE: {cost.handshake_bytes} bytes for a handshake, '
        f'{cost.added_short:g} for a message of 100 bytes, '
        f'{cost.added_long:g} for one of 1,000 bytes'
    )
    results: dict[str, typing.Any] = {'wire': dataclasses.asdict(cost)}
    for name in slope:
        measure_points, x_name = SLOPES[name]
        load_before = capacity_fleet.read_load_average()
        started_at = time.monotonic()
        points = measure_points(quick)
        fits = fit_figures(points, x_name)
        _print_slope(name, x_name, points, fits)
        result = {
            'x': x_name,
            'points': points,
            'fits': {
                key: dataclasses.asdict(fit) for key, fit in fits.items()
            },
            'processors': os.cpu_count(),
            'load_before': load_before,
            'load_after': capacity_fleet.read_load_average(),
            'is_quick': quick,
        }
        print(
            f'  took {time.monotonic() - started_at:.0f} s; load average '
            f'{load_before:.1f} before, {result["load_after"]:.1f} after, '
            f'{os.cpu_count()} processors'
        )
        results[name] = result
        if directory is not None:
            _write_slope(directory, name, x_name, result)
    if json_file is not None:
        json_file.write_text(json.dumps(results, indent=2) + '\n')


if __name__ == '__main__':
    typer.run(main)
