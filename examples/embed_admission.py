"""Protects a slow resource with the admission control alone.

Run with `script/python examples/embed_admission.py`. Twelve workers call a
resource that runs four calls at a time. One workspace sends most of the
calls, but does not starve the other one.
"""

import collections
import random

import anyio

from sassafraswood import clock
from sassafraswood import const
from sassafraswood.coordination import admission
from sassafraswood.models import call
from sassafraswood.models import enums
from sassafraswood.models import ids

SLOTS = 4
SERVICE_TIME_S = 0.02
TIMEOUT_S = 0.5
RUN_DURATION_S = 2.0
WORKERS_BY_WORKSPACE = {'busy': 10, 'quiet': 2}


class Resource:
    """A resource with admission control."""

    def __init__(self) -> None:
        """Start with all slots free."""
        self._clock = clock.SystemClock()
        self._admission = admission.Admission(
            clock=self._clock, random=random.Random()
        )
        self._admission.set_upstream(enums.UpstreamStatus.READY, SLOTS)
        self._call_count = 0

    async def async_tick(self) -> None:
        """Expire queued calls periodically until cancelled."""
        while True:
            await anyio.sleep(const.ADMISSION_TICK_S)
            self._admission.tick()

    async def async_call(self, workspace: str) -> call.Refusal | None:
        """Call the resource; return the refusal if it was not admitted."""
        decided = anyio.Event()
        refusals: list[call.Refusal] = []

        def on_refused(refusal: call.Refusal) -> None:
            refusals.append(refusal)
            decided.set()

        ticket = self._admission.submit(
            self._request(workspace), decided.set, on_refused
        )
        await decided.wait()
        if refusals:
            return refusals[0]
        await anyio.sleep(SERVICE_TIME_S)
        self._admission.finish(ticket, admission.ServiceOutcome.COMPLETED)
        return None

    def _request(self, workspace: str) -> admission.AdmissionRequest:
        self._call_count += 1
        return admission.AdmissionRequest(
            call_id=ids.CallId(str(self._call_count)),
            workspace=ids.Workspace(workspace),
            weight=1.0,
            importance=enums.Importance.NORMAL,
            deadline=self._clock.monotonic() + TIMEOUT_S,
        )


async def async_main() -> None:
    """Send calls and print the number of outcomes by workspace."""
    resource = Resource()
    counts: collections.Counter[str] = collections.Counter()

    async def async_run_worker(workspace: str) -> None:
        while True:
            refusal = await resource.async_call(workspace)
            reason = 'answered' if refusal is None else refusal.reason.value
            counts[f'{workspace} {reason}'] += 1
            if refusal is not None:
                await anyio.sleep(refusal.retry_after_s or SERVICE_TIME_S)

    with anyio.move_on_after(RUN_DURATION_S):
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(resource.async_tick)
            for workspace, worker_count in WORKERS_BY_WORKSPACE.items():
                for _ in range(worker_count):
                    task_group.start_soon(async_run_worker, workspace)
    for name, count in sorted(counts.items()):
        print(f'{name}: {count}')


def main() -> None:
    """Run the example."""
    anyio.run(async_main)


if __name__ == '__main__':
    main()
