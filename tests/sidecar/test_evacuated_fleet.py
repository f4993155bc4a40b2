"""Test of daemons on loopback while their failure domain is evacuated."""

import asyncio

from tests.sidecar import test_whole_path


async def async_test_evacuation() -> None:
    """Evacuate the domain of all upstreams, restart a daemon, return."""
    async with test_whole_path.running() as fleet:
        seen = fleet.upstreams['billing'].seen
        fleet.store.put('keyed.op', 'evacuate/a', b'{}')
        await asyncio.sleep(1.0)
        for restarts in (False, True):
            if restarts:
                await fleet.async_restart('billing')
                assert await fleet.async_report('billing') == 200
            for at in fleet.daemons:
                refused = await fleet.async_request(
                    at, '/pay/7', method='POST'
                )
                assert refused.status == 503
                assert float(dict(refused.headers)[b'Retry-After']) > 0
        assert not seen
        fleet.store.put('keyed.op', 'evacuate/a', b'')
        for at in fleet.daemons:
            await fleet.async_wait(at, 'billing')
        assert seen


def test_evacuated_upstreams_get_no_request_before_they_return() -> None:
    """Neither after a restart of the daemon, which knows nothing at first."""
    asyncio.run(async_test_evacuation())
