"""Command line of the soak test.

Example: script/python -m lab.soak --seeds 1-50 --jobs 2
"""

import asyncio
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
from typing import Annotated

import typer

from lab.soak import run


def main(
    seeds: Annotated[str, typer.Option(help='A seed, or the first-last.')],
    length: Annotated[float, typer.Option(help='Traffic in seconds.')] = 25.0,
    machines: Annotated[int, typer.Option(help='Number of VMs.')] = 6,
    jobs: Annotated[int, typer.Option(help='Soaks at the same time.')] = 1,
    deployed: Annotated[
        bool, typer.Option(help='Run what deploy/build installed.')
    ] = False,
) -> None:
    """Run soaks; the exit code is 1 if a check failed in any of them."""
    # Exits through the cleanup code, which also ends the daemons.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(number))
    first, _, last = seeds.partition('-')
    numbers = list(range(int(first), int(last or first) + 1))
    if len(numbers) == 1:
        raise typer.Exit(_run_one(numbers[0], length, machines, deployed))
    options = ['--length', str(length), '--machines', str(machines)]
    if deployed:
        options.append('--deployed')
    failed = _run_many(numbers, options, jobs)
    print(f'{len(numbers)} seeds, failed: {failed or "none"}')
    raise typer.Exit(1 if failed else 0)


def _run_one(seed: int, length: float, machines: int, deployed: bool) -> int:
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    soak = run.Soak(
        seed=seed,
        length_s=length,
        machines=machines,
        folder=folder,
        deployed=deployed,
    )
    result = asyncio.run(soak.async_run())
    print(
        f'seed {seed}: {result.served} of {result.requests} served, '
        f'{len(result.faults)} faults'
    )
    if not result.problems:
        shutil.rmtree(folder)
        return 0
    for problem in result.problems[:20]:
        print(f'  {problem}')
    for fault in result.faults:
        print(f'  {fault}')
    print(f'  logs: {folder}')
    return 1


def _run_many(numbers: list[int], options: list[str], jobs: int) -> list[int]:
    """Run each seed in a separate process; return the failed seeds."""
    failed: list[int] = []
    waiting = list(numbers)
    running: dict[int, subprocess.Popen[bytes]] = {}
    try:
        while waiting or running:
            while waiting and len(running) < jobs:
                seed = waiting.pop(0)
                running[seed] = subprocess.Popen(
                    [sys.executable, '-m', 'lab.soak', '--seeds', str(seed)]
                    + options
                )
            seed = next(iter(running))
            if running[seed].wait() != 0:
                failed.append(seed)
            del running[seed]
    finally:
        for process in running.values():
            process.terminate()
    return failed


if __name__ == '__main__':
    app = typer.Typer(pretty_exceptions_enable=False)
    app.command()(main)
    app()
