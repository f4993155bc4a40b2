"""Admits calls to a slow resource with the admission alone.

Run with `script/python examples/embed_admission.py`. Twelve workers call a
resource that runs four requests at once; one workspace sends most of the
calls, and the other one is not crowded out.
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
SERVICE_S = 0.02
TIMEOUT_S = 0.5
RUN_S = 2.0
WORKERS = {'busy': 10, 'quiet': 2}


class Resource:
    """A resource behind an admission."""

    def __init__(self) -> None:
        """Start with all slots free."""
        self._clock = clock.SystemClock()
        self._admission = admission.Admission(
            clock=self._clock, random=random.Random()
        )
        self._admission.set_upstream(enums.UpstreamStatus.READY, SLOTS)
        self._number = 0

    async def async_tick(self) -> None:
        """Let the admission expire waiting calls, until cancelled."""
        while True:
            await anyio.sleep(const.ADMISSION_TICK_S)
            self._admission.tick()

    async def async_use(self, workspace: str) -> call.Refusal | None:
        """Use the resource; return the refusal if it was not admitted."""
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
        await anyio.sleep(SERVICE_S)
        self._admission.finish(ticket, admission.ServiceOutcome.COMPLETED)
        return None

    def _request(self, workspace: str) -> admission.AdmissionRequest:
        self._number += 1
        return admission.AdmissionRequest(
            call_id=ids.CallId(str(self._number)),
            workspace=ids.Workspace(workspace),
            weight=1.0,
            importance=enums.Importance.NORMAL,
            deadline=self._clock.monotonic() + TIMEOUT_S,
        )


async def async_main() -> None:
    """Send calls and print what became of them."""
    resource = Resource()
    counts: collections.Counter[str] = collections.Counter()

    async def async_work(workspace: str) -> None:
        while True:
            refusal = await resource.async_use(workspace)
            reason = 'answered' if refusal is None else refusal.reason.value
            counts[f'{workspace} {reason}'] += 1
            if refusal is not None:
                await anyio.sleep(refusal.retry_after_s or SERVICE_S)

    with anyio.move_on_after(RUN_S):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(resource.async_tick)
            for workspace, workers in WORKERS.items():
                for _ in range(workers):
                    tasks.start_soon(async_work, workspace)
    for name, count in sorted(counts.items()):
        print(f'{name}: {count}')


def main() -> None:
    """Run the example."""
    anyio.run(async_main)


if __name__ == '__main__':
    main()
