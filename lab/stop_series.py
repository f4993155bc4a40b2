"""Stops real daemons in series under load, and counts unanswered requests.

Callers use new and kept connections until the process is gone, as callers do
that learn of a stop late. A request is lost if its connection was established,
it was sent whole, and the connection ended without a whole answer.

Example: script/python -m lab.stop_series --seeds 1-20 --busy 12
"""

import asyncio
import collections
import dataclasses
import enum
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time
from typing import Annotated, Final

import typer
import uvloop

from lab import process_site

SERVICES: Final = ('catalogue', 'donations', 'orders')
VMS_PER_SERVICE: Final = 2
CALLERS_PER_VM: Final = 8
# One in this many callers keeps its connection.
KEPT_EVERY: Final = 4
RUN_TIME_S: Final = 0.09
BODY: Final = b'x' * 4000
ANSWER_TIMEOUT_S: Final = 7.0
DEADLINE_MS: Final = '6000'
# Pause of a caller that finds nobody listening, and between its requests.
RETRY_PAUSE_S: Final = 0.02
CALL_PAUSE_S: Final = 0.005
# Traffic before the first signal, and the longest time between the signals to
# two daemons.
WARM_UP_S: Final = 0.5
MAX_SPREAD_S: Final = 2.0
# Fraction of daemons that also get a reload, and a second stop signal.
EXTRA_SIGNAL_FRACTION: Final = 0.3
PROCESS_END_TIMEOUT_S: Final = 15.0


class Outcome(enum.Enum):
    """What a caller got for one request."""

    SERVED = 'served'
    REFUSED = 'refused'
    FAILED = 'failed'
    # Nobody listened, so that nothing was sent.
    NOT_CONNECTED = 'not connected'
    LOST = 'lost'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Loss:
    """A request that was sent whole and got no answer.

    Attributes:
        machine: VM whose daemon took the connection.
        sent_s: Time from the first signal to the last byte of the request.
        ended_s: Time from there to the end of the connection.
    """

    machine: str
    sent_s: float
    ended_s: float


@dataclasses.dataclass(kw_only=True)
class Result:
    """What all callers got in one play.

    Attributes:
        outcomes: Number of requests by outcome.
        losses: The lost requests.
        exit_codes: Exit codes of the daemons.
    """

    outcomes: collections.Counter[Outcome] = dataclasses.field(
        default_factory=collections.Counter
    )
    losses: list[Loss] = dataclasses.field(default_factory=list)
    exit_codes: list[int | None] = dataclasses.field(default_factory=list)


class StopSeries:
    """One play: starts a site, loads it and stops all of its daemons."""

    def __init__(
        self, seed: int, folder: pathlib.Path, code: pathlib.Path | None = None
    ) -> None:
        """Initialize without starting anything.

        Args:
            seed: Determines the times and signals.
            folder: Folder of the settings and log files.
            code: Source tree of the daemons; that of this file if None.
        """
        self._random = random.Random(seed)
        self._services = {
            f'{service}-{number}': service
            for service in SERVICES
            for number in range(VMS_PER_SERVICE)
        }
        # Each VM has a route of its own, so that callers reach all of them.
        self._site = process_site.Site(
            folder,
            list(self._services),
            rules=process_site.build_rules(
                list(self._services), float(DEADLINE_MS) / 1000.0
            ),
            code=code,
        )
        self._is_over = False
        self._signalled_at = 0.0
        self._result = Result()

    async def async_run(self) -> Result:
        """Play the series and return what the callers got."""
        try:
            await self._site.async_open()
            processes = await self._async_start_daemons()
            callers = [
                asyncio.create_task(self._async_call_repeatedly(name, number))
                for name in processes
                for number in range(CALLERS_PER_VM)
            ]
            await asyncio.sleep(WARM_UP_S)
            self._signalled_at = time.monotonic()
            spread_s = self._random.choice((0.0, MAX_SPREAD_S))
            self._result.exit_codes = await asyncio.gather(
                *(
                    self._async_stop_daemon(process, spread_s)
                    for process in processes.values()
                )
            )
            self._is_over = True
            await asyncio.gather(*callers)
        finally:
            await self._site.async_stop()
        return self._result

    async def _async_start_daemons(
        self,
    ) -> dict[str, subprocess.Popen[bytes]]:
        site = self._site
        for machine in site.machines.values():
            machine.write_settings()
        processes = {name: site.launch(name) for name in site.machines}
        for name, process in processes.items():
            await site.async_wait_ready(name, process)
        for name in processes:
            await site.async_wait_served(self._choose_service(name), name)
            site.upstream(name).delay_s = RUN_TIME_S
        return processes

    async def _async_stop_daemon(
        self, process: subprocess.Popen[bytes], spread_s: float
    ) -> int | None:
        """Send signals to a daemon; return its exit code."""
        source = self._random
        await asyncio.sleep(source.uniform(0.0, spread_s))
        if source.random() < EXTRA_SIGNAL_FRACTION:
            process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        if source.random() < EXTRA_SIGNAL_FRACTION:
            await asyncio.sleep(source.uniform(0.0, 3.0))
            process.send_signal(signal.SIGTERM)
        return await self._site.async_end(process, None, PROCESS_END_TIMEOUT_S)

    def _choose_service(self, name: str) -> str:
        """Return a service of another VM than that of the caller."""
        names = list(self._services)
        return names[(names.index(name) + 1) % len(names)]

    async def _async_call_repeatedly(self, name: str, number: int) -> None:
        is_kept = number % KEPT_EVERY == 0
        service = self._choose_service(name) if number % 2 else name
        client: process_site.RawClient | None = None
        while not self._is_over:
            if client is None:
                try:
                    client = await self._site.async_connect(name=name)
                except OSError:
                    self._result.outcomes[Outcome.NOT_CONNECTED] += 1
                    await asyncio.sleep(RETRY_PAUSE_S)
                    continue
            if not await self._async_call(client, name, service) or (
                not is_kept
            ):
                client.close()
                client = None
            await asyncio.sleep(CALL_PAUSE_S)
        if client is not None:
            client.close()

    async def _async_call(
        self, client: process_site.RawClient, name: str, service: str
    ) -> bool:
        """Send a request; return whether its connection may be used again."""
        client.send(
            process_site.build_request(
                service,
                method='POST',
                length=len(BODY),
                deadline=DEADLINE_MS,
            )
            + BODY
        )
        sent_at = time.monotonic()
        try:
            response = await client.async_receive(timeout_s=ANSWER_TIMEOUT_S)
        except TimeoutError:
            response = None
        if response is None:
            self._result.outcomes[Outcome.LOST] += 1
            self._result.losses.append(
                Loss(
                    machine=name,
                    sent_s=round(sent_at - self._signalled_at, 3),
                    ended_s=round(time.monotonic() - sent_at, 3),
                )
            )
            return False
        self._result.outcomes[_classify(response.status)] += 1
        return response.fields.get('connection', '').lower() != 'close'


def _classify(status: int) -> Outcome:
    if status == 503:
        return Outcome.REFUSED
    return Outcome.SERVED if status == 200 else Outcome.FAILED


def play(seed: int, code: pathlib.Path | None = None) -> Result:
    """Play one series in a folder of its own."""
    with tempfile.TemporaryDirectory(prefix=f'stops-{seed}-') as folder:
        series = StopSeries(seed, pathlib.Path(folder), code)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(series.async_run())


def main(
    seeds: Annotated[str, typer.Option(help='A seed, or the first-last.')],
    busy: Annotated[int, typer.Option(help='Busy processes beside.')] = 0,
    code: Annotated[
        pathlib.Path | None, typer.Option(help='Source tree of the daemons.')
    ] = None,
) -> None:
    """Play series of stops; the exit code is 1 if a request was lost."""
    first, _, last = seeds.partition('-')
    numbers = range(int(first), int(last or first) + 1)
    total: collections.Counter[Outcome] = collections.Counter()
    others = [
        subprocess.Popen([sys.executable, '-c', 'while True: pass'])
        for _ in range(busy)
    ]
    try:
        for seed in numbers:
            result = play(seed, code)
            total += result.outcomes
            print(f'seed {seed}: {_describe(result.outcomes)}', flush=True)
            for loss in result.losses:
                print(f'  {loss}')
            if set(result.exit_codes) != {0}:
                print(f'  exit codes: {result.exit_codes}')
    finally:
        for process in others:
            process.kill()
            process.wait()
    print(f'{len(numbers)} seeds: {_describe(total)}')
    raise typer.Exit(1 if total[Outcome.LOST] else 0)


def _describe(outcomes: collections.Counter[Outcome]) -> str:
    return ', '.join(
        f'{outcomes[outcome]} {outcome.value}' for outcome in Outcome
    )


if __name__ == '__main__':
    typer.run(main)
