"""Tests of cancelled calls at the first daemon."""

import random
from unittest import mock

import anyio

from sassafraswood import clock
from sassafraswood.coordination import callee_limit
from sassafraswood.coordination import first_daemon
from sassafraswood.coordination import quarantine
from sassafraswood.coordination import retry
from sassafraswood.coordination import routing
from sassafraswood.models import call
from sassafraswood.models import document
from sassafraswood.models import enums
from sassafraswood.models import ids
from sassafraswood.models import messages
from sassafraswood.models import records

SERVICE = ids.ServiceName('ordering')


class HangingPeers:
    """Daemons that never return a result."""

    async def async_run_call(
        self, daemon_id: ids.DaemonId, message: messages.RunCall
    ) -> messages.RunResult:
        """Wait until the call is cancelled."""
        del daemon_id, message
        await anyio.sleep_forever()
        raise AssertionError


def _make_first_daemon(router: mock.Mock) -> first_daemon.FirstDaemon:
    manual_clock = clock.ManualClock()
    generator = random.Random(1)
    authorization = mock.Mock()
    authorization.authenticate.return_value = None
    configuration = mock.Mock()
    configuration.document.return_value = None
    membership = mock.Mock()
    membership.members.return_value = []
    return first_daemon.FirstDaemon(
        clock=manual_clock,
        random=generator,
        authorization=authorization,
        quota=mock.Mock(),
        quarantine=quarantine.Quarantine(clock=manual_clock),
        router=router,
        retries=retry.RetryPolicy(clock=manual_clock, random=generator),
        callees=callee_limit.CalleeLimits(clock=manual_clock),
        configuration=configuration,
        membership=membership,
        runs=mock.Mock(),
        peers=HangingPeers(),
        count=mock.Mock(),
    )


def test_cancelled_call_is_no_failure_of_the_daemon() -> None:
    """Guards against avoiding a healthy daemon after a caller timeout.

    The caller disconnects while the daemon runs the call, and the router has
    to record a cancellation instead of a failure of that daemon.
    """
    route = document.RouteSpec(path='/**', open=True)
    incoming = first_daemon.IncomingCall(
        entry=records.DocumentEntry(
            service=SERVICE,
            revision=ids.Revision(1),
            offset=ids.Offset(0),
            document=document.ServiceDocument(
                version=1, service=SERVICE, routes=[route]
            ),
        ),
        route=route,
        importance=enums.Importance.NORMAL,
        idempotent=True,
        request=call.HttpRequest(
            method='GET', target='/', headers=[], body=b''
        ),
    )
    router = mock.Mock(spec=routing.Router)
    router.choose.return_value = ids.DaemonId('ordering-1')

    async def async_call_with_timeout() -> None:
        with anyio.move_on_after(0.01):
            await _make_first_daemon(router).async_call(incoming)

    anyio.run(async_call_with_timeout)
    (recorded_call,) = router.note_result.call_args_list
    assert recorded_call.args[1] is not None
    assert recorded_call.args[1].reason is enums.RefusalReason.CANCELLED
