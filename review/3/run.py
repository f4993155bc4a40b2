"""Late in a planned stop, calls of the upstream are taken and then cut.

Machine a, beside an upstream of the service front, gets SIGTERM while its
upstream runs on. Orders, sent by clients of machine b within 2.6 s after the
signal, run at that upstream. Each makes four calls to the service bill, one
after the other, through the daemon of machine a.
"""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import common  # noqa: E402

CALLS = 4
# Work of a call; the site file has calls of up to 1.2 s.
WORK_S = 1.0
CALL_TIMEOUT_S = 2.5
ORDER_DEADLINE_S = 5.0
FIRST_ORDER_S = 1.4
ORDERS = 12
ORDER_INTERVAL_S = 0.1
# Requests sent no later than this after SIGTERM may be cut at the end.
EXCUSED_UNTIL_S = 3.0
KEY = 'Authorization: Token k1\r\n'


class Case:
    """State of one play."""

    def __init__(self, site: common.Site, record: common.Record) -> None:
        """Create the upstreams."""
        self.site = site
        self.record = record
        self.front = common.Upstream(record, 'front', 'front', 50, self.run)
        self.bill = common.Upstream(record, 'bill', 'bill', 50, self.work)
        self.machine_a: common.Machine | None = None
        self.stopped_at = float('inf')
        self.lost: list[str] = []

    async def work(self, request: common.Request) -> tuple[int, bytes]:
        """Run a call at the service bill."""
        del request
        await asyncio.sleep(WORK_S)
        return 200, b'x' * 400

    async def run(self, request: common.Request) -> tuple[int, bytes]:
        """Run an order: make its calls, one after the other."""
        left_s = int(request.fields['x-deadline-ms']) / 1000
        deadline = time.monotonic() + left_s
        if request.target == '/order/first':
            return 200, b''
        for number in range(CALLS):
            if not await self.call(deadline, request.attempt_id, number):
                return 500, b''
        return 200, b'x' * 400

    async def call(self, deadline: float, parent: str, number: int) -> bool:
        """Make one call through the daemon beside the upstream."""
        assert self.machine_a is not None
        client = common.Client(self.machine_a)
        attempt = client.next_attempt_id()
        sent_at = time.monotonic()
        self.record.note(
            'call_sent', attempt=attempt, parent=parent, number=number
        )
        try:
            await client.async_send(
                attempt,
                method='GET',
                target='/ledger/1',
                deadline_s=deadline - sent_at,
            )
            answer = await client.async_receive()
        except OSError as error:
            # It was not read: the daemon has ended.
            self.record.note('call_not_read', attempt=attempt, error=error)
            return False
        finally:
            client.close()
        now = time.monotonic()
        is_running = (
            attempt in self.bill.runs and attempt not in self.bill.finished
        )
        self.record.note(
            'call_answered',
            attempt=attempt,
            status=answer.status,
            sealed='x-response-seal' in answer.fields,
            after_s=round(now - sent_at, 3),
            sent_after_sigterm_s=round(sent_at - self.stopped_at, 3),
            upstream_at_work=is_running,
        )
        if (
            is_running
            and answer.status != 200
            and sent_at > self.stopped_at + EXCUSED_UNTIL_S
            and now < min(deadline, sent_at + CALL_TIMEOUT_S)
        ):
            self.lost.append(attempt)
        return answer.status == 200


async def async_play(site: common.Site, record: common.Record) -> bool:
    """Return whether no call was cut while its upstream was at work."""
    case = Case(site, record)
    await site.async_open(
        common.config(
            1,
            {
                'order': common.route(
                    '/order/', 'front', kind='unsafe', timeout_s=5.0
                ),
                'ledger': common.route(
                    '/ledger/',
                    'bill',
                    kind='safe',
                    timeout_s=CALL_TIMEOUT_S,
                    anonymous=True,
                ),
            },
            ['front', 'bill'],
            {'blue': {'api-keys': ['k1'], 'rate-per-s': 50, 'burst': 50}},
        )
    )
    machine_a = await site.async_add(
        name='a', host='127.0.0.2', zone='a', upstream=case.front
    )
    case.machine_a = machine_a
    machine_b = await site.async_add(
        name='b', host='127.0.0.3', zone='b', upstream=case.bill
    )
    await site.async_wait_served(
        machine_b, method='POST', target='/order/first', fields=KEY
    )
    await site.async_wait_served(machine_a, method='GET', target='/ledger/0')
    await asyncio.sleep(common.STABLE_WINDOW_S + 0.5)
    begun_at = time.monotonic()
    if common.has_trouble():
        machine_a.signal(signal.SIGTERM)
        case.stopped_at = begun_at
    statuses: dict[int, int] = {}

    async def async_order() -> None:
        client = common.Client(machine_b)
        attempt = client.next_attempt_id()
        record.note('order_sent', attempt=attempt)
        await client.async_send(
            attempt,
            method='POST',
            target='/order/1',
            deadline_s=ORDER_DEADLINE_S,
            fields=KEY,
            body=b'x' * 300,
        )
        answer = await client.async_receive()
        record.note('order_answered', attempt=attempt, status=answer.status)
        statuses[answer.status] = statuses.get(answer.status, 0) + 1
        client.close()

    orders = []
    for number in range(ORDERS):
        due_at = begun_at + FIRST_ORDER_S + number * ORDER_INTERVAL_S
        await asyncio.sleep(due_at - time.monotonic())
        orders.append(asyncio.create_task(async_order()))
    await asyncio.gather(*orders)
    await asyncio.sleep(0.5)
    record.note('orders', statuses=statuses)
    record.note(
        'summary', lost_calls=len(case.lost), attempts=','.join(case.lost)
    )
    return not case.lost


if __name__ == '__main__':
    common.main(FOLDER, async_play)
