"""Records and reports that another writer has made unreadable.

They name nothing to use; all others hold.
"""

import asyncio
import json

import pytest

from sassafraswood import exceptions
from sassafraswood.platform import members
from sassafraswood.platform import reports
from sassafraswood.platform import rules
from sassafraswood.platform import settings
from sassafraswood.platform import upstream_records
from sassafraswood.platform import wire_json
from sassafraswood.protocol import frames
from tests.sidecar import test_whole_path

DEPTH = 200_000
DEEP = b'[' * DEPTH + b']' * DEPTH
MEMBER = {
    'ip': '10.0.0.1',
    'port': 7000,
    'failure_domain': 'a',
    'service': 'ordering',
}
REPORT = {
    'service': 'ordering',
    'address': '10.0.0.1:8080',
    'slots': 20,
    'state': 'ready',
    'cold-left-s': 0,
    'sequence': 1,
    'born': 1,
}
END = {
    'record_id': 'a',
    'service': 'ordering',
    'ended_at': 1.0,
    'suspects': [['f', 0.1, 0.1, False]],
}
ODD_MEMBERS = [
    {'port': 70000},
    {'port': 0},
    {'port': -1},
    {'port': 10**30},
    {'ip': 'host.example'},
    {'ip': '10.0.0.1\0'},
    {'ip': ''},
]
ODD_REPORTS = [
    {'address': '10.0.0.1:70000'},
    {'address': '10.0.0.1:' + '9' * 5000},
    {'address': '10.0.0.1:\u0663'},
    {'slots': 0},
    {'slots': 10**30},
    {'sequence': 10**30},
    {'sequence': -1},
    {'born': 10**30},
    {'state': 'lost'},
]
ODD_ENDS = [
    {'ended_at': -1.0},
    {'suspects': [['f', -1e9, 1e9, False]]},
    {'suspects': [['f', 1e300, 1e300, False]]},
    {'suspects': [['f']]},
]


def merge(base: dict, changes: dict) -> bytes:
    """Return a record with some other fields."""
    return json.dumps(base | changes).encode()


# Guards against processes that end at a record that is nested very deeply.
@pytest.mark.parametrize(
    'decode',
    [
        lambda value: members.decode('a', value),
        lambda value: reports.decode('i', value),
        reports.decode_leave,
        rules.decode,
        upstream_records.decode_leaves,
        upstream_records.decode_upstream,
        upstream_records.decode_end,
    ],
)
@pytest.mark.parametrize(
    'value', [DEEP, b'{"x":%b}' % DEEP], ids=['value', 'field']
)
def test_deep_nesting_is_no_record(value, decode) -> None:
    """Also in a field that nobody asks for."""
    with pytest.raises(exceptions.DecodeError):
        decode(value)


# Guards against connections to ports that there are not.
@pytest.mark.parametrize('changes', ODD_MEMBERS)
def test_odd_member_is_rejected(changes) -> None:
    """Its address cannot be one."""
    members.decode('a', merge(MEMBER, {}))
    with pytest.raises(exceptions.DecodeError):
        members.decode('a', merge(MEMBER, changes))


# Guards against numbers that break what is computed with them.
@pytest.mark.parametrize('changes', ODD_REPORTS)
def test_odd_report_is_rejected(changes) -> None:
    """Numbers out of range, and an address that is none."""
    reports.decode('i', merge(REPORT, {}))
    with pytest.raises(exceptions.DecodeError):
        reports.decode('i', merge(REPORT, changes))


@pytest.mark.parametrize('changes', ODD_ENDS)
def test_odd_end_is_rejected(changes) -> None:
    """Its rates and times are multiplied."""
    upstream_records.decode_end(merge(END, {}))
    with pytest.raises(exceptions.DecodeError):
        upstream_records.decode_end(merge(END, changes))


def test_odd_number_of_slots_is_rejected() -> None:
    """More than any upstream has."""
    with pytest.raises(exceptions.DecodeError):
        upstream_records.decode_upstream(
            merge(
                {'instance_id': 'i', 'born': 1},
                {'slots': wire_json.MAX_SLOTS + 1},
            )
        )


def test_address_is_an_ip_address_and_a_port() -> None:
    """In settings and in reports."""
    assert settings.parse_address('10.0.0.1:80') == ('10.0.0.1', 80)
    for text in ('', ':80', 'a:80', '10.0.0.1:', '10.0.0.1:0', '10.0.0.1:+1'):
        assert settings.parse_address(text) is None


def test_deep_frame_is_no_message() -> None:
    """The connection ends instead of the process."""
    payload = b'\x92\x08' + b'\x91' * DEPTH + b'\xc0'
    with pytest.raises(exceptions.DecodeError):
        frames.FrameReader().feed(len(payload).to_bytes(4, 'big') + payload)


async def async_test_odd_records() -> None:
    """Write odd records while daemons follow the store."""
    async with test_whole_path.running() as fleet:
        for topic in ('keyed.members', 'keyed.upstreams'):
            fleet.store.put(topic, 'odd-deep', b'{"x":%b}' % DEEP)
            fleet.store.put(topic, 'odd/ended/1', DEEP)
            for index, changes in enumerate(ODD_MEMBERS):
                fleet.store.put(topic, f'odd-{index}', merge(MEMBER, changes))
        port = fleet.daemons['billing'].settings.report_address[1]
        status = await async_post(port, b'{"x":%b}' % DEEP)
        assert status == 400
        await fleet.async_restart('status')
        await fleet.async_wait('status', 'billing')
        # Members are still followed.
        fleet.store.put(
            'keyed.members', 'late', merge(MEMBER, {'ip': '127.0.0.1'})
        )
        rules = test_whole_path.RULES | {'version': 'r5', 'routes': {}}
        fleet.publish(rules)
        await asyncio.sleep(1.5)
        for at in fleet.daemons:
            assert (await fleet.async_request(at, '/status/1')).status == 404
            assert not fleet.tasks[at].done()


async def async_post(port: int, body: bytes) -> int:
    """Send a report; return the status of its answer."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(
        b'POST /rpc?call=instances.heartbeat&of=i-billing HTTP/1.1\r\n'
        b'Host: x\r\nContent-Length: %d\r\n\r\n' % len(body) + body
    )
    line = await reader.readline()
    writer.close()
    return int(line.split()[1])


# Guards against daemons that end, or stop following the store, at an odd
# record.
def test_daemons_follow_the_store_past_odd_records() -> None:
    """They serve, restart and take what comes after it."""
    asyncio.run(async_test_odd_records())
