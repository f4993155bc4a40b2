"""Measures the product against its baseline at twice the capacity.

Run with `script/python -m lab.overload --deployment coastal`. A log, the
daemons and upstreams of a scaled-down deployment, and callers that send each
refused or failed call again at once, run as processes on this machine.
"""

import dataclasses
import hashlib
import os
import pathlib
import subprocess
import sys
import tempfile
import time
from typing import Annotated, Any

import msgspec
import typer

from lab import fleet
from lab import overload_figures
from lab import overload_plan

_ROOT = pathlib.Path(__file__).resolve().parent.parent
# Caller processes need this long to start on a busy machine.
_LEAD_S = 4.0
_SAMPLE_S = 0.5
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_IN_FORCE_S = 11.0


class ExperimentError(Exception):
    """The experiment could not be run."""


@dataclasses.dataclass(kw_only=True)
class _Observed:
    """What is observed while the callers run."""

    before: dict[str, float] = dataclasses.field(default_factory=dict)
    after: dict[str, float] = dataclasses.field(default_factory=dict)
    between_s: float = 0.0
    machine_load: float = 0.0
    samples: list[dict[str, Any]] = dataclasses.field(default_factory=list)


class Experiment:
    """One run of one deployment under one control."""

    def __init__(
        self,
        deployment: overload_plan.Deployment,
        control: str,
        seed: int,
        slowdown: float,
    ) -> None:
        """Take what to run."""
        self._deployment = deployment
        self._control = control
        self._seed = seed
        self._slowdown = slowdown
        self._fleet = fleet.Fleet(overload_plan.specs(deployment, control))
        self._callers: list[subprocess.Popen] = []
        self._start_unix_s = 0.0
        self._directory = tempfile.TemporaryDirectory(prefix='overload-')

    def run(self) -> overload_figures.Figures:
        """Return the figures of the run."""
        with self._directory, self._fleet:
            self._prepare()
            self._start_unix_s = time.time() + _LEAD_S
            try:
                self._start_callers()
                observed = self._observe()
                originals = self._collect()
            finally:
                self._stop_callers()
            recording = self._record(observed, originals)
        return overload_figures.compute(recording)

    def _prepare(self) -> None:
        offset = 0
        for service in self._deployment.services:
            offset = self._publish(
                'publish',
                {
                    'publication_id': service.name,
                    'replaces': 0,
                    'document': overload_plan.document(service.name),
                },
            )
        for name, _, _ in overload_plan.WORKSPACES:
            key = overload_plan.key(name)
            offset = self._publish(
                'keys/grant',
                {
                    'publication_id': f'grant-{name}',
                    'key_id': name,
                    'workspace': name,
                    'key_sha256': hashlib.sha256(key.encode()).hexdigest(),
                },
            )
        deadline = time.monotonic() + _IN_FORCE_S
        first = next(iter(self._fleet.daemons))
        while True:
            _, value = self._fleet.operate(
                first, 'GET', f'behind?offset={offset}'
            )
            if not value['behind']:
                return
            if time.monotonic() > deadline:
                raise ExperimentError(f'not in force at {value["behind"]}')
            time.sleep(0.05)

    def _publish(self, path: str, value: object) -> int:
        first = next(iter(self._fleet.daemons))
        status, result = self._fleet.operate(first, 'POST', path, value)
        if status != 200:
            raise ExperimentError(f'{path} refused: {result}')
        return result['offset']

    def _start_callers(self) -> None:
        count = overload_plan.CALLER_PROCESSES
        for number in range(count):
            plan = overload_plan.CallerPlan(
                number=number,
                seed=self._seed,
                start_unix_s=self._start_unix_s,
                rates={
                    name: capacity / count
                    for name, capacity in overload_plan.CAPACITIES.items()
                },
                addresses=[
                    daemon.caller for daemon in self._fleet.daemons.values()
                ],
                targets=self._deployment.targets(),
            )
            self._callers.append(
                subprocess.Popen(
                    [
                        sys.executable,
                        '-m',
                        'lab.overload_caller',
                        overload_plan.encode(plan),
                        str(self._output(number)),
                    ],
                    cwd=_ROOT,
                    env={**os.environ, 'PYTHONPATH': str(_ROOT)},
                    stdin=subprocess.DEVNULL,
                )
            )

    def _observe(self) -> _Observed:
        """Follow the phases; slow the bottom down in the surge."""
        observed = _Observed()
        surge_at = self._start_unix_s + overload_plan.WARM_UP_S
        surge_end = surge_at + overload_plan.SURGE_S
        self._sample_until(surge_at, observed)
        observed.before = self._processor_s()
        started = time.monotonic()
        self._slow_down(self._slowdown)
        self._sample_until(surge_end, observed)
        observed.after = self._processor_s()
        observed.between_s = time.monotonic() - started
        observed.machine_load = os.getloadavg()[0]
        self._slow_down(1.0)
        end = self._start_unix_s + overload_plan.total_s()
        self._sample_until(end, observed)
        return observed

    def _slow_down(self, factor: float) -> None:
        if self._slowdown == 1.0:
            return
        bottom = self._deployment.bottom
        for daemon_id, daemon in self._fleet.daemons.items():
            if daemon.spec.service == bottom.name:
                self._fleet.set_behaviour(
                    daemon_id, **overload_plan.behaviour(bottom, factor)
                )

    def _sample_until(self, unix_s: float, observed: _Observed) -> None:
        bottlenecks = (
            self._deployment.bottom.name,
            self._deployment.side.name,
        )
        while time.time() + _SAMPLE_S < unix_s:
            at_s = time.time() - self._start_unix_s
            for daemon_id, daemon in self._fleet.daemons.items():
                if daemon.spec.service not in bottlenecks:
                    continue
                admission = self._fleet.status(daemon_id)['admission']
                observed.samples.append(
                    {'at_s': round(at_s, 2), 'daemon': daemon_id, **admission}
                )
            time.sleep(_SAMPLE_S)
        time.sleep(max(0.0, unix_s - time.time()))

    def _processor_s(self) -> dict[str, float]:
        """Return the processor time used by each process so far."""
        processes = {
            f'caller-{number}': process
            for number, process in enumerate(self._callers)
        }
        for daemon_id, daemon in self._fleet.daemons.items():
            if daemon.process is not None:
                processes[f'daemon {daemon_id}'] = daemon.process
            if daemon.upstream_process is not None:
                processes[f'upstream {daemon_id}'] = daemon.upstream_process
        return {
            name: _processor_s(process.pid)
            for name, process in processes.items()
        }

    def _collect(self) -> list[overload_plan.Original]:
        originals = []
        for number, process in enumerate(self._callers):
            if process.wait(timeout=30) != 0:
                raise ExperimentError('a caller process failed')
            result = msgspec.json.decode(
                self._output(number).read_bytes(),
                type=overload_plan.CallerResult,
            )
            originals += result.originals
        return originals

    def _output(self, number: int) -> pathlib.Path:
        return pathlib.Path(self._directory.name) / f'{number}.json'

    def _stop_callers(self) -> None:
        for process in self._callers:
            if process.poll() is None:
                process.kill()
            process.wait()

    def _record(
        self, observed: _Observed, originals: list[overload_plan.Original]
    ) -> overload_figures.Recording:
        seen: dict[str, list[dict[str, Any]]] = {}
        counts: dict[str, int] = {}
        for daemon_id, daemon in self._fleet.daemons.items():
            service = seen.setdefault(daemon.spec.service, [])
            service += self._fleet.requests_seen(daemon_id)
            for name, count in self._fleet.status(daemon_id)['counts'].items():
                counts[name] = counts.get(name, 0) + count
        return overload_figures.Recording(
            deployment=self._deployment,
            control=self._control,
            seed=self._seed,
            slowdown=self._slowdown,
            start_unix_s=self._start_unix_s,
            originals=originals,
            seen=seen,
            processors={
                name: (used - observed.before[name]) / observed.between_s
                for name, used in observed.after.items()
            },
            machine_load=observed.machine_load,
            counts=counts,
            samples=observed.samples,
        )


def _processor_s(pid: int) -> float:
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    # Fields 14 and 15 of proc(5); the second field may contain spaces.
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def _print_deployment(deployment: overload_plan.Deployment) -> None:
    print(f'{deployment.name}: {deployment.description}')
    print(f'slots divided by {deployment.scale}')
    for service in deployment.services:
        print(
            f'  {service.name}: {service.upstreams} x {service.slots} slots '
            f'(of {service.real_slots}), service time '
            f'{service.service_s:.3f} s, {service.capacity:.0f} calls/s'
        )


def _rows(figures: overload_figures.Figures) -> list[tuple[str, str]]:
    recovery = figures.recovery_s
    by_class = figures.answered_by_class
    bottlenecks = figures.goodput_by_bottleneck
    return [
        ('original calls, attempts', _pair(figures)),
        ('goodput / capacity in the surge', _3(figures.goodput_of_capacity)),
        ('  of the chain', _3(bottlenecks['chain'])),
        ('  of the side service', _3(bottlenecks['side'])),
        (
            '  seen by the deepest service / capacity',
            _3(figures.seen_of_capacity['chain']),
        ),
        (
            '  seen by the side service / capacity',
            _3(figures.seen_of_capacity['side']),
        ),
        (
            '  timeout counted from first attempt',
            _3(figures.prompt_goodput_of_capacity),
        ),
        (
            '  least half second in the surge',
            _3(min(_surge_bins(figures.goodput_by_half_second))),
        ),
        (
            'recovery in s',
            'not in 10 s' if recovery is None else f'{recovery:.1f}',
        ),
        (
            'worst workspace / fair share',
            f'{figures.worst_fair_share:.3f} {figures.worst_workspace}',
        ),
        *[
            (f'answered of {name} calls', _3(by_class[name]))
            for name in overload_plan.CLASSES
        ],
        (
            'wrongful refusals per 1,000',
            f'{figures.wrongful_refusals_per_1000:.2f}',
        ),
        ('extra runs at the bottom per call', _3(figures.extra_at_bottom)),
        (
            'admitted / (burst + rate x T)',
            _3(figures.admitted_of_limit),
        ),
        ('non-idempotent requests doubled', str(figures.doubled)),
        ('idempotent requests repeated', str(figures.repeated_idempotent)),
        ('keys seen upstream', str(figures.keys_seen_upstream)),
        ('latency from first attempt, p50 s', _3(figures.latency_p50_s)),
        ('latency from first attempt, p99 s', _3(figures.latency_p99_s)),
        ('callers behind plan, most, s', _3(figures.callers_behind_s)),
        (
            'busiest process, cores',
            f'{figures.busiest_cores:.2f} {figures.busiest_process}',
        ),
        ('busiest caller, cores', f'{figures.busiest_caller_cores:.2f}'),
        ('all processes, cores', f'{figures.used_cores:.2f}'),
        ('load of the machine', f'{figures.machine_load:.1f}'),
    ]


def _pair(figures: overload_figures.Figures) -> str:
    return f'{figures.originals}, {figures.attempts}'


def _3(value: float) -> str:
    return f'{value:.3f}'


def _surge_bins(values: list[float]) -> list[float]:
    first = int(overload_plan.WARM_UP_S / overload_figures.BIN_S)
    count = int(overload_plan.SURGE_S / overload_figures.BIN_S)
    return values[first : first + count]


def _print_figures(results: list[overload_figures.Figures]) -> None:
    columns = [_rows(figures) for figures in results]
    names = [figures.control for figures in results]
    print()
    print(
        f'surge at {overload_plan.SURGE_LOAD:g} x capacity, bottom slowed '
        f'down {results[0].slowdown:g} times, seed {results[0].seed}'
    )
    print(f'{"":42}' + ''.join(f'{name:>32}' for name in names))
    for position, (label, _) in enumerate(columns[0]):
        values = [column[position][1] for column in columns]
        print(f'{label:42}' + ''.join(f'{value:>32}' for value in values))
    for figures in results:
        print(f'goodput / capacity by half second, {figures.control}:')
        print(_line(figures.goodput_by_half_second))
        print(f'answered by half second first sent, {figures.control}:')
        print(_line(figures.answered_by_half_second))
        print(f'ends of attempts in the surge, {figures.control}:')
        for importance, ends in figures.ends_in_surge.items():
            counts = [f'{name} {count}' for name, count in ends.items()]
            print(f'  {importance}: {", ".join(counts)}')
    for figures in results:
        missed = overload_figures.misses(figures)
        print(f'missed, {figures.control}: {"; ".join(missed) or "nothing"}')
        if overload_figures.is_disturbed(figures):
            print(f'disturbed, {figures.control}: callers behind their plan')


def _line(values: list[float]) -> str:
    lines = [
        ' '.join(f'{value:.2f}' for value in values[first : first + 14])
        for first in range(0, len(values), 14)
    ]
    return '  ' + '\n  '.join(lines)


def main(
    *,
    deployment: Annotated[str, typer.Option()],
    control: Annotated[str, typer.Option()] = 'both',
    slowdown: Annotated[float, typer.Option()] = 1.0,
    seed: Annotated[int, typer.Option()] = 1,
    as_json: Annotated[bool, typer.Option('--json')] = False,
) -> None:
    """Run the experiment and print its figures.

    Args:
        deployment: coastal or workshops.
        control: full, baseline or both.
        slowdown: Factor on the service time of the bottom in the surge.
        seed: Seed of arrivals and callers.
        as_json: Print one JSON object per run.
    """
    if deployment not in overload_plan.DEPLOYMENTS:
        raise typer.BadParameter(f'unknown deployment {deployment}')
    if control not in ('full', 'baseline', 'both'):
        raise typer.BadParameter(f'unknown control {control}')
    chosen = overload_plan.DEPLOYMENTS[deployment]
    controls = ('full', 'baseline') if control == 'both' else (control,)
    results = []
    for name in controls:
        figures = Experiment(chosen, name, seed, slowdown).run()
        results.append(figures)
        if as_json:
            print(msgspec.json.encode(figures).decode(), flush=True)
    if not as_json:
        _print_deployment(chosen)
        _print_figures(results)


if __name__ == '__main__':
    typer.run(main)
