"""Tests of a call from its arrival at the first daemon to its end."""

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
    """Daemons that run a call for ever."""

    async def async_run_call(
        self, daemon_id: ids.DaemonId, message: messages.RunCall
    ) -> messages.RunResult:
        """Wait until cancelled."""
        del daemon_id, message
        await anyio.sleep_forever()
        raise AssertionError


def _first_daemon(router: mock.Mock) -> first_daemon.FirstDaemon:
    time_source = clock.ManualClock()
    rng = random.Random(1)
    authorization = mock.Mock()
    authorization.authenticate.return_value = None
    configuration = mock.Mock()
    configuration.document.return_value = None
    membership = mock.Mock()
    membership.members.return_value = []
    return first_daemon.FirstDaemon(
        clock=time_source,
        random=rng,
        authorization=authorization,
        quota=mock.Mock(),
        quarantine=quarantine.Quarantine(clock=time_source),
        router=router,
        retries=retry.RetryPolicy(clock=time_source, random=rng),
        callees=callee_limit.CalleeLimits(clock=time_source),
        configuration=configuration,
        membership=membership,
        runs=mock.Mock(),
        peers=HangingPeers(),
        count=mock.Mock(),
    )


def test_caller_that_leaves_is_no_failure_of_the_peer() -> None:
    """Guards against a healthy daemon that is avoided after a timeout."""
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

    async def async_leave() -> None:
        with anyio.move_on_after(0.01):
            await _first_daemon(router).async_call(incoming)

    anyio.run(async_leave)
    (noted,) = router.note_result.call_args_list
    assert noted.args[1] is not None
    assert noted.args[1].reason is enums.RefusalReason.CANCELLED
