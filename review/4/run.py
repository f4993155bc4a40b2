"""After an outage of the store and a kill, a late heartbeat undoes a leave.

The upstream on machine b deregisters while the store refuses calls, and its
daemon acknowledges that. The daemon is killed and starts again, the store
returns, and a heartbeat that the upstream had sent before it left arrives
late. The upstream serves on for some seconds, as upstreams do, and exits.
"""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import common  # noqa: E402

# Times in seconds after the store begins to refuse calls.
BEAT_SENT_S = 0.2
LEAVE_S = 0.5
KILL_S = 1.5
RESTART_S = 1.8
STORE_BACK_S = 3.0
BEAT_ARRIVES_S = 3.8
EXIT_S = 8.2
END_S = 9.0
DRAIN_S = 2.0
KEY = 'Authorization: Token k1\r\n'


async def async_run(request: common.Request) -> tuple[int, bytes]:
    """Run a request."""
    del request
    await asyncio.sleep(0.6)
    return 200, b'x' * 400


async def async_play(site: common.Site, record: common.Record) -> bool:
    """Return whether the leaving upstream got no late request."""
    front = common.Upstream(record, 'front', 'front', 50, async_run)
    leaving = common.Upstream(record, 'leaving', 'bill', 50, async_run)
    staying = common.Upstream(record, 'staying', 'bill', 50, async_run)
    await site.async_open(
        common.config(
            1,
            {
                'pay': common.route(
                    '/pay/', 'bill', kind='unsafe', timeout_s=1.2
                )
            },
            ['front', 'bill'],
            {'blue': {'api-keys': ['k1'], 'rate-per-s': 100, 'burst': 100}},
        )
    )
    machine_a = await site.async_add(
        name='a', host='127.0.0.2', zone='a', upstream=front
    )
    machine_b = await site.async_add(
        name='b', host='127.0.0.3', zone='a', upstream=leaving
    )
    await site.async_add(
        name='c', host='127.0.0.4', zone='a', upstream=staying
    )
    await site.async_wait_served(
        machine_a, method='POST', target='/pay/first', fields=KEY
    )
    await asyncio.sleep(common.STABLE_WINDOW_S + 3.5)
    control = machine_b.address('control')
    begun_at = time.monotonic()
    acknowledged_at = float('inf')
    # Machines are in touch this long after the last disruption.
    in_touch_at = begun_at + STORE_BACK_S + common.STABLE_WINDOW_S
    late: list[str] = []
    lost: list[str] = []

    async def async_until(at_s: float) -> None:
        await asyncio.sleep(begun_at + at_s - time.monotonic())

    async def async_events() -> None:
        nonlocal acknowledged_at
        if common.has_trouble():
            record.note('store', state='refuses calls with 503')
            site.store.is_busy = True
        await async_until(BEAT_SENT_S)
        beat = leaving.build_beat('a')
        record.note('beat_sent', at=leaving.instance_id, delayed=True)
        await async_until(LEAVE_S)
        status = await leaving.async_deregister(control)
        if status != 200:
            raise common.CannotRunError(f'leave got status {status}')
        acknowledged_at = time.monotonic()
        record.note('leave_acknowledged', at=leaving.instance_id)
        if common.has_trouble():
            await async_until(KILL_S)
            machine_b.signal(signal.SIGKILL)
            assert machine_b.process is not None
            await asyncio.to_thread(machine_b.process.wait)
            await async_until(RESTART_S)
            machine_b.start()
            await async_until(STORE_BACK_S)
            record.note('store', state='answers again')
            site.store.is_busy = False
        await async_until(BEAT_ARRIVES_S)
        status = await leaving.async_send_beat(control, beat)
        record.note('beat_arrived', at=leaving.instance_id, status=status)
        await async_until(EXIT_S)
        record.note('exits', at=leaving.instance_id)
        leaving.crash()

    async def async_pay() -> None:
        client = common.Client(machine_a)
        attempt = client.next_attempt_id()
        sent_at = time.monotonic()
        record.note('sent', attempt=attempt)
        await client.async_send(
            attempt,
            method='POST',
            target='/pay/1',
            deadline_s=1.2,
            fields=KEY,
            body=b'x' * 300,
        )
        answer = await client.async_receive()
        client.close()
        record.note('answered', attempt=attempt, status=answer.status)
        if (
            attempt in leaving.runs
            and sent_at > in_touch_at
            and sent_at > acknowledged_at + DRAIN_S
        ):
            late.append(attempt)
            if answer.status != 200:
                lost.append(attempt)

    events = asyncio.create_task(async_events())
    payments = []
    while time.monotonic() < begun_at + END_S:
        payments.append(asyncio.create_task(async_pay()))
        await asyncio.sleep(0.05)
    await asyncio.gather(events, *payments)
    record.note(
        'summary',
        runs_at_leaving_upstream_too_late=len(late),
        of_these_lost_by_its_exit=len(lost),
    )
    return not late


if __name__ == '__main__':
    common.main(FOLDER, async_play)
