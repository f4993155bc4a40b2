"""Compares full control with the baseline at twice the capacity.

Run with `script/python -m lab.overload --deployment coastal`. A log, the
daemons and upstreams of a scaled-down deployment, and callers that retry each
refused or failed call within milliseconds run as processes on this machine.
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
# Caller processes take up to this long to start on a busy machine.
_CALLER_START_S = 4.0
_SAMPLE_INTERVAL_S = 0.5
_CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
# All daemons must have confirmed the documents and keys by then.
_IN_FORCE_TIMEOUT_S = 11.0


class ExperimentError(Exception):
    """The experiment could not be run."""


@dataclasses.dataclass(kw_only=True)
class _Observation:
    """Measurements taken while the callers run.

    Attributes:
        cpu_s_before: CPU seconds of each process at the start of the surge.
        cpu_s_after: CPU seconds of each process at the end of the surge.
        cpu_window_s: Seconds between the two readings.
        machine_load: Load average over 1 min at the end of the surge.
        samples: Admission status of the bottleneck daemons.
    """

    cpu_s_before: dict[str, float] = dataclasses.field(default_factory=dict)
    cpu_s_after: dict[str, float] = dataclasses.field(default_factory=dict)
    cpu_window_s: float = 0.0
    machine_load: float = 0.0
    samples: list[dict[str, Any]] = dataclasses.field(default_factory=list)


class Experiment:
    """One run of one deployment in one control mode."""

    def __init__(
        self,
        deployment: overload_plan.Deployment,
        control: str,
        seed: int,
        slowdown: float,
    ) -> None:
        """Create the run; no process is started yet.

        Args:
            deployment: Deployment to start.
            control: Control mode of the daemons, full or baseline.
            seed: Seed of arrivals and callers.
            slowdown: Factor on the service time of the deepest service
                during the surge.
        """
        self._deployment = deployment
        self._control = control
        self._seed = seed
        self._slowdown = slowdown
        self._fleet = fleet.Fleet(
            overload_plan.daemon_specs(deployment, control)
        )
        self._callers: list[subprocess.Popen] = []
        self._start_unix_s = 0.0
        self._directory = tempfile.TemporaryDirectory(prefix='overload-')

    def run(self) -> overload_figures.Figures:
        """Run the experiment and return its figures.

        Raises:
            ExperimentError: A publication was refused or not confirmed in
                time, or a caller process failed.
        """
        with self._directory, self._fleet:
            self._publish_configuration()
            self._start_unix_s = time.time() + _CALLER_START_S
            try:
                self._start_callers()
                observation = self._observe_phases()
                originals = self._collect_calls()
            finally:
                self._stop_callers()
            recording = self._build_recording(observation, originals)
        return overload_figures.compute_figures(recording)

    def _publish_configuration(self) -> None:
        offset = 0
        for service in self._deployment.services:
            offset = self._post_operator(
                'publish',
                {
                    'publication_id': service.name,
                    'replaces': 0,
                    'document': overload_plan.build_document(service.name),
                },
            )
        for name, _, _ in overload_plan.WORKSPACES:
            key = overload_plan.api_key(name)
            offset = self._post_operator(
                'keys/grant',
                {
                    'publication_id': f'grant-{name}',
                    'key_id': name,
                    'workspace': name,
                    'key_sha256': hashlib.sha256(key.encode()).hexdigest(),
                },
            )
        deadline = time.monotonic() + _IN_FORCE_TIMEOUT_S
        daemon_id = next(iter(self._fleet.daemons))
        while True:
            _, value = self._fleet.send_operator_request(
                daemon_id, 'GET', f'behind?offset={offset}'
            )
            if not value['behind']:
                return
            if time.monotonic() > deadline:
                raise ExperimentError(
                    'daemons have not confirmed the configuration: '
                    f'{value["behind"]}'
                )
            time.sleep(0.05)

    def _post_operator(self, path: str, value: object) -> int:
        daemon_id = next(iter(self._fleet.daemons))
        status, result = self._fleet.send_operator_request(
            daemon_id, 'POST', path, value
        )
        if status != 200:
            raise ExperimentError(f'the daemon refused {path}: {result}')
        return result['offset']

    def _start_callers(self) -> None:
        count = overload_plan.CALLER_PROCESSES
        for number in range(count):
            plan = overload_plan.CallerPlan(
                number=number,
                seed=self._seed,
                start_unix_s=self._start_unix_s,
                rates={
                    name: rate / count
                    for name, rate in overload_plan.CAPACITIES_PER_S.items()
                },
                addresses=[
                    daemon.caller_address
                    for daemon in self._fleet.daemons.values()
                ],
                targets=self._deployment.services_by_call_kind(),
            )
            self._callers.append(
                subprocess.Popen(
                    [
                        sys.executable,
                        '-m',
                        'lab.overload_caller',
                        overload_plan.encode_plan(plan),
                        str(self._result_path(number)),
                    ],
                    cwd=_ROOT,
                    env={**os.environ, 'PYTHONPATH': str(_ROOT)},
                    stdin=subprocess.DEVNULL,
                )
            )

    def _observe_phases(self) -> _Observation:
        """Sample all phases; slow the deepest service during the surge."""
        observation = _Observation()
        surge_start = self._start_unix_s + overload_plan.WARM_UP_S
        surge_end = surge_start + overload_plan.SURGE_S
        self._sample_admission_until(surge_start, observation)
        observation.cpu_s_before = self._cpu_s_by_process()
        started = time.monotonic()
        self._set_slowdown(self._slowdown)
        self._sample_admission_until(surge_end, observation)
        observation.cpu_s_after = self._cpu_s_by_process()
        observation.cpu_window_s = time.monotonic() - started
        observation.machine_load = os.getloadavg()[0]
        self._set_slowdown(1.0)
        end = self._start_unix_s + overload_plan.total_duration_s()
        self._sample_admission_until(end, observation)
        return observation

    def _set_slowdown(self, factor: float) -> None:
        if self._slowdown == 1.0:
            return
        deepest = self._deployment.deepest
        for daemon_id, daemon in self._fleet.daemons.items():
            if daemon.spec.service == deepest.name:
                self._fleet.set_behaviour(
                    daemon_id,
                    **overload_plan.upstream_behaviour(deepest, factor),
                )

    def _sample_admission_until(
        self, unix_s: float, observation: _Observation
    ) -> None:
        bottlenecks = (
            self._deployment.deepest.name,
            self._deployment.side.name,
        )
        while time.time() + _SAMPLE_INTERVAL_S < unix_s:
            at_s = time.time() - self._start_unix_s
            for daemon_id, daemon in self._fleet.daemons.items():
                if daemon.spec.service not in bottlenecks:
                    continue
                admission = self._fleet.fetch_status(daemon_id)['admission']
                observation.samples.append(
                    {'at_s': round(at_s, 2), 'daemon': daemon_id, **admission}
                )
            time.sleep(_SAMPLE_INTERVAL_S)
        time.sleep(max(0.0, unix_s - time.time()))

    def _cpu_s_by_process(self) -> dict[str, float]:
        """Return the CPU seconds used by each process so far."""
        processes = {
            f'caller-{number}': process
            for number, process in enumerate(self._callers)
        }
        for daemon_id, daemon in self._fleet.daemons.items():
            if daemon.daemon_process is not None:
                processes[f'daemon {daemon_id}'] = daemon.daemon_process
            if daemon.upstream_process is not None:
                processes[f'upstream {daemon_id}'] = daemon.upstream_process
        return {
            name: _cpu_s(process.pid) for name, process in processes.items()
        }

    def _collect_calls(self) -> list[overload_plan.OriginalCall]:
        originals = []
        for number, process in enumerate(self._callers):
            if process.wait(timeout=30) != 0:
                raise ExperimentError('a caller process exited with an error')
            result = msgspec.json.decode(
                self._result_path(number).read_bytes(),
                type=overload_plan.CallerResult,
            )
            originals += result.originals
        return originals

    def _result_path(self, number: int) -> pathlib.Path:
        return pathlib.Path(self._directory.name) / f'{number}.json'

    def _stop_callers(self) -> None:
        for process in self._callers:
            if process.poll() is None:
                process.kill()
            process.wait()

    def _build_recording(
        self,
        observation: _Observation,
        originals: list[overload_plan.OriginalCall],
    ) -> overload_figures.Recording:
        requests_by_service: dict[str, list[dict[str, Any]]] = {}
        counts: dict[str, int] = {}
        for daemon_id, daemon in self._fleet.daemons.items():
            requests = requests_by_service.setdefault(daemon.spec.service, [])
            requests += self._fleet.fetch_recorded_requests(daemon_id)
            for name, count in self._fleet.fetch_status(daemon_id)[
                'counts'
            ].items():
                counts[name] = counts.get(name, 0) + count
        return overload_figures.Recording(
            deployment=self._deployment,
            control=self._control,
            seed=self._seed,
            slowdown=self._slowdown,
            start_unix_s=self._start_unix_s,
            originals=originals,
            requests_by_service=requests_by_service,
            cores_by_process={
                name: (used - observation.cpu_s_before[name])
                / observation.cpu_window_s
                for name, used in observation.cpu_s_after.items()
            },
            machine_load=observation.machine_load,
            counts=counts,
            samples=observation.samples,
        )


def _cpu_s(pid: int) -> float:
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    # utime and stime, fields 14 and 15 of proc(5). The second field, the
    # program name, may contain spaces and parentheses.
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S


def _print_deployment(deployment: overload_plan.Deployment) -> None:
    print(f'{deployment.name}: {deployment.description}')
    print(f'slots divided by {deployment.scale}')
    for service in deployment.services:
        print(
            f'  {service.name}: {service.upstreams} x {service.slots} slots '
            f'(of {service.unscaled_slots}), service time '
            f'{service.service_s:.3f} s, {service.capacity_per_s:.0f} calls/s'
        )


def _build_rows(figures: overload_figures.Figures) -> list[tuple[str, str]]:
    recovery = figures.recovery_s
    by_class = figures.answered_by_class
    bottlenecks = figures.goodput_by_bottleneck
    return [
        ('original calls, attempts', _format_call_counts(figures)),
        (
            'goodput / capacity in the surge',
            _format_number(figures.goodput_of_capacity),
        ),
        ('  of the chain', _format_number(bottlenecks['chain'])),
        ('  of the side service', _format_number(bottlenecks['side'])),
        (
            '  seen by the deepest service / capacity',
            _format_number(figures.seen_of_capacity['chain']),
        ),
        (
            '  seen by the side service / capacity',
            _format_number(figures.seen_of_capacity['side']),
        ),
        (
            '  timeout counted from first attempt',
            _format_number(figures.prompt_goodput_of_capacity),
        ),
        (
            '  least half second in the surge',
            _format_number(
                min(_select_surge_bins(figures.goodput_by_half_second))
            ),
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
            (f'answered of {name} calls', _format_number(by_class[name]))
            for name in overload_plan.IMPORTANCE_CLASSES
        ],
        (
            'wrongful refusals per 1,000',
            f'{figures.wrongful_refusals_per_1000:.2f}',
        ),
        (
            'extra runs at the bottom per call',
            _format_number(figures.extra_at_bottom),
        ),
        (
            'admitted / (burst + rate x T)',
            _format_number(figures.admitted_of_limit),
        ),
        ('non-idempotent requests doubled', str(figures.doubled)),
        ('idempotent requests repeated', str(figures.repeated_idempotent)),
        ('keys seen upstream', str(figures.keys_seen_upstream)),
        (
            'latency from first attempt, p50 s',
            _format_number(figures.latency_p50_s),
        ),
        (
            'latency from first attempt, p99 s',
            _format_number(figures.latency_p99_s),
        ),
        (
            'callers behind plan, most, s',
            _format_number(figures.callers_behind_s),
        ),
        (
            'busiest process, cores',
            f'{figures.busiest_cores:.2f} {figures.busiest_process}',
        ),
        ('busiest caller, cores', f'{figures.busiest_caller_cores:.2f}'),
        ('all processes, cores', f'{figures.used_cores:.2f}'),
        ('load of the machine', f'{figures.machine_load:.1f}'),
    ]


def _format_call_counts(figures: overload_figures.Figures) -> str:
    return f'{figures.originals}, {figures.attempts}'


def _format_number(value: float) -> str:
    return f'{value:.3f}'


def _select_surge_bins(values: list[float]) -> list[float]:
    first = int(overload_plan.WARM_UP_S / overload_figures.BIN_S)
    count = int(overload_plan.SURGE_S / overload_figures.BIN_S)
    return values[first : first + count]


def _print_figures(results: list[overload_figures.Figures]) -> None:
    columns = [_build_rows(figures) for figures in results]
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
        print(_format_bins(figures.goodput_by_half_second))
        print(f'answered by half second first sent, {figures.control}:')
        print(_format_bins(figures.answered_by_half_second))
        print(f'ends of attempts in the surge, {figures.control}:')
        for importance, ends in figures.ends_in_surge.items():
            counts = [f'{name} {count}' for name, count in ends.items()]
            print(f'  {importance}: {", ".join(counts)}')
    for figures in results:
        missed = overload_figures.missed_targets(figures)
        print(f'missed, {figures.control}: {"; ".join(missed) or "nothing"}')
        if overload_figures.is_disturbed(figures):
            print(f'disturbed, {figures.control}: callers behind their plan')


def _format_bins(values: list[float]) -> str:
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
        slowdown: Factor on the service time of the deepest service in the
            surge.
        seed: Seed of arrivals and callers.
        as_json: Print one JSON object per run.
    """
    if deployment not in overload_plan.DEPLOYMENTS:
        raise typer.BadParameter(f'unknown deployment {deployment}')
    if control not in ('full', 'baseline', 'both'):
        raise typer.BadParameter(f'unknown control {control}')
    chosen_deployment = overload_plan.DEPLOYMENTS[deployment]
    controls = ('full', 'baseline') if control == 'both' else (control,)
    results = []
    for name in controls:
        figures = Experiment(chosen_deployment, name, seed, slowdown).run()
        results.append(figures)
        if as_json:
            print(msgspec.json.encode(figures).decode(), flush=True)
    if not as_json:
        _print_deployment(chosen_deployment)
        _print_figures(results)


if __name__ == '__main__':
    typer.run(main)
