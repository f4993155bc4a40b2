"""Answers that slow clients have not read yet fill the memory of a daemon.

Clients on machine a get answers of 16 MB and read them at 1.6 MB/s. The
platform ends a process that exceeds its memory; this script does the same.
"""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import common  # noqa: E402

CLIENTS = 40
CLIENT_INTERVAL_S = 0.15
ANSWER_BYTES = 16_000_000
BYTES_PER_S = 1_600_000
FAST_BYTES_PER_S = 100_000_000
DEADLINE_S = 14.0
MEMORY_MB = 300
# More than so many break the rule.
ALLOWED = 3
KEY = 'Authorization: Token k1\r\n'


async def async_run(request: common.Request) -> tuple[int, bytes]:
    """Run a request."""
    await asyncio.sleep(0.1)
    size = 0 if request.target == '/doc/first' else ANSWER_BYTES
    return 200, b'x' * size


async def async_play(site: common.Site, record: common.Record) -> bool:
    """Return whether at most three answers were lost."""
    bill = common.Upstream(record, 'bill', 'bill', 50, async_run)
    front = common.Upstream(record, 'front', 'front', 50, async_run)
    await site.async_open(
        common.config(
            1,
            {
                'doc': common.route(
                    '/doc/', 'bill', kind='safe', timeout_s=DEADLINE_S
                )
            },
            ['front', 'bill'],
            {'blue': {'api-keys': ['k1'], 'rate-per-s': 50, 'burst': 50}},
        )
    )
    machine_a = await site.async_add(
        name='a', host='127.0.0.2', zone='a', upstream=front
    )
    await site.async_add(name='b', host='127.0.0.3', zone='b', upstream=bill)
    await site.async_wait_served(
        machine_a, method='GET', target='/doc/first', fields=KEY
    )
    await asyncio.sleep(common.STABLE_WINDOW_S + 0.5)
    lost: list[str] = []
    rate = BYTES_PER_S if common.has_trouble() else FAST_BYTES_PER_S

    async def async_get() -> None:
        client = common.Client(machine_a, receive_buffer=64 * 1024)
        attempt = client.next_attempt_id()
        sent_at = time.monotonic()
        record.note('sent', attempt=attempt)
        try:
            await client.async_send(
                attempt,
                method='GET',
                target='/doc/1',
                deadline_s=DEADLINE_S,
                fields=KEY,
            )
            answer = await client.async_receive(bytes_per_s=rate)
        except OSError as error:
            record.note('not_read', attempt=attempt, error=repr(error))
            return
        finally:
            client.close()
        record.note(
            'answered',
            attempt=attempt,
            status=answer.status,
            received=len(answer.body),
            complete=answer.is_complete,
            after_s=round(time.monotonic() - sent_at, 3),
        )
        if not answer.is_complete and attempt in bill.finished:
            lost.append(attempt)

    async def async_watch() -> None:
        peak_mb = 0.0
        noted_mb = 0.0
        while True:
            resident_mb = machine_a.resident_mb()
            peak_mb = max(peak_mb, resident_mb)
            if resident_mb > noted_mb + 25:
                noted_mb = resident_mb
                record.note('memory', machine='a', mb=round(resident_mb))
            if resident_mb > MEMORY_MB:
                record.note('memory_exceeded', mb=round(resident_mb))
                machine_a.signal(signal.SIGKILL)
                return
            await asyncio.sleep(0.02)

    watch = asyncio.create_task(async_watch())
    tasks = []
    for _ in range(CLIENTS):
        tasks.append(asyncio.create_task(async_get()))
        await asyncio.sleep(CLIENT_INTERVAL_S)
    await asyncio.gather(*tasks)
    watch.cancel()
    record.note('summary', lost=len(lost), of=CLIENTS)
    return len(lost) <= ALLOWED


if __name__ == '__main__':
    common.main(FOLDER, async_play)
