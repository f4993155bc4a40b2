"""Tests of admission control: single calls, and load in virtual time."""

from collections.abc import Sequence
import random

import pytest

from lab import admission_sim
from sassafraswood import clock
from sassafraswood import const
from sassafraswood.coordination import admission
from sassafraswood.models import call
from sassafraswood.models import enums
from sassafraswood.models import ids

SERVICE_S = 0.05
COMPLETED = enums.ServiceOutcome.COMPLETED


class _Harness:
    """Admission control for a cold upstream that records its callbacks."""

    def __init__(self, slots: int = 2) -> None:
        self.clock = clock.ManualClock()
        self.admission = admission.Admission(
            clock=self.clock, random=random.Random(1)
        )
        self.started: list[str] = []
        self.refused: dict[str, call.Refusal] = {}
        # A cold upstream starts with a tenth of its slots, that is `slots`.
        self.admission.set_upstream(enums.UpstreamStatus.COLD, 10 * slots)

    def submit(
        self,
        name: str,
        *,
        workspace: str = 'a',
        importance: enums.Importance = enums.Importance.NORMAL,
        timeout_s: float = 10.0,
        run_alone: bool = False,
    ) -> admission.Ticket:
        """Submit a call and record its callbacks under its name."""

        def refused(refusal: call.Refusal) -> None:
            assert name not in self.refused
            self.refused[name] = refusal

        return self.admission.submit(
            admission.AdmissionRequest(
                call_id=ids.CallId(name),
                workspace=ids.Workspace(workspace),
                weight=1.0,
                importance=importance,
                deadline=self.clock.monotonic() + timeout_s,
                run_alone=run_alone,
            ),
            lambda: self.started.append(name),
            refused,
        )

    def advance(self, seconds: float) -> None:
        """Advance the clock in ticks of the admission."""
        for _ in range(round(seconds / const.ADMISSION_TICK_S)):
            self.clock.advance(const.ADMISSION_TICK_S)
            self.admission.tick()

    def reason(self, name: str) -> enums.RefusalReason:
        """Return the reason of a refusal and check its outcome."""
        refusal = self.refused[name]
        assert refusal.outcome is enums.Outcome.NOT_RUN
        is_unavailable = refusal.reason in (
            enums.RefusalReason.DRAINING,
            enums.RefusalReason.NO_UPSTREAM,
        )
        assert refusal.shed is not is_unavailable
        return refusal.reason


def test_calls_beyond_the_limit_wait_and_start_in_order() -> None:
    """Guards against more calls in flight than the limit."""
    harness = _Harness()
    tickets = [harness.submit(name) for name in 'wxyz']
    assert harness.started == ['w', 'x']
    harness.admission.finish(tickets[0], COMPLETED)
    harness.admission.finish(tickets[0], COMPLETED)
    assert harness.started == ['w', 'x', 'y']
    assert harness.admission.in_flight == 2


def test_cancel_of_waiting_and_running_calls() -> None:
    """Guards against leaked slots and callbacks after a cancellation."""
    harness = _Harness()
    running, _ = harness.submit('w'), harness.submit('x')
    waiting, _ = harness.submit('y'), harness.submit('z')
    harness.admission.cancel(waiting)
    harness.admission.cancel(running)
    harness.admission.cancel(running)
    harness.admission.finish(running, COMPLETED)
    harness.advance(0.05)
    assert harness.started == ['w', 'x', 'z']
    assert not harness.refused and harness.admission.in_flight == 2


@pytest.mark.parametrize(
    ('status', 'reason'),
    [
        (enums.UpstreamStatus.DRAINING, enums.RefusalReason.DRAINING),
        (enums.UpstreamStatus.CRASHED, enums.RefusalReason.NO_UPSTREAM),
        (enums.UpstreamStatus.ABSENT, enums.RefusalReason.NO_UPSTREAM),
    ],
)
def test_waiting_calls_are_refused_when_the_upstream_stops(
    status: enums.UpstreamStatus, reason: enums.RefusalReason
) -> None:
    """Guards against calls that wait for or start at a stopped upstream."""
    harness = _Harness()
    tickets = [harness.submit(name) for name in 'wxy']
    harness.submit('alone', run_alone=True)
    harness.admission.set_upstream(status, 20)
    harness.submit('late')
    assert {harness.reason(name) for name in ('y', 'alone', 'late')} == {
        reason
    }
    harness.admission.finish(tickets[0], COMPLETED)
    assert harness.started == ['w', 'x']
    harness.admission.set_upstream(enums.UpstreamStatus.READY, 20)
    harness.submit('new')
    assert harness.started == ['w', 'x', 'new']


def test_waiting_calls_end_by_their_deadline_or_the_queue_bound() -> None:
    """Guards against calls that wait until their result is useless."""
    harness = _Harness()
    harness.submit('w')
    harness.submit('x')
    harness.submit('short', timeout_s=0.05)
    harness.submit('long')
    harness.submit('past', timeout_s=0.0)
    harness.advance(0.06)
    unreachable = enums.RefusalReason.DEADLINE_UNREACHABLE
    assert harness.reason('past') is harness.reason('short') is unreachable
    assert 'long' not in harness.refused
    harness.advance(const.QUEUE_BURST_WAIT_S)
    assert harness.reason('long') is enums.RefusalReason.OVERLOADED


def test_deadline_is_checked_against_service_time_and_position() -> None:
    """Guards against starting calls that cannot finish in time."""
    harness = _Harness()
    for _ in range(200):
        ticket = harness.submit('warm-up')
        harness.advance(0.1)
        harness.admission.finish(ticket, COMPLETED)
    limit = harness.admission.limit
    for number in range(limit):
        harness.submit(f'running-{number}')
    harness.submit('hopeless', timeout_s=0.09)
    assert (
        harness.reason('hopeless') is enums.RefusalReason.DEADLINE_UNREACHABLE
    )
    harness.submit('possible', timeout_s=0.2)
    assert 'possible' not in harness.refused
    for number in range(2 * limit):
        harness.submit(f'waiting-{number}')
    harness.submit('behind', timeout_s=0.2)
    assert harness.reason('behind') is enums.RefusalReason.DEADLINE_UNREACHABLE
    retry_after_s = harness.refused['behind'].retry_after_s
    assert retry_after_s is not None and 0.1 < retry_after_s < 1.0


def test_call_alone_runs_with_nothing_beside_it() -> None:
    """Guards against a suspect that crashes the calls beside it."""
    harness = _Harness()
    tickets = [harness.submit('w'), harness.submit('x')]
    alone = harness.submit('alone', run_alone=True)
    harness.advance(const.ALONE_MIN_WAIT_S + 0.05)
    harness.submit('y')
    harness.admission.finish(tickets[0], COMPLETED)
    assert harness.started == ['w', 'x']
    harness.admission.finish(tickets[1], COMPLETED)
    assert harness.started == ['w', 'x', 'alone']
    assert (
        alone.run_deadline <= harness.clock.monotonic() + const.ALONE_MAX_RUN_S
    )
    harness.admission.finish(alone, COMPLETED)
    assert harness.started == ['w', 'x', 'alone', 'y']


def _run_beside(harness: _Harness, waiting: list[admission.Ticket]) -> int:
    """Submit a call, finish running calls after a tick, return their count."""
    waiting.append(harness.submit(f'beside-{harness.clock.monotonic()}'))
    harness.advance(0.01)
    done = [
        ticket
        for ticket in waiting
        if ticket.state is admission.TicketState.RUNNING
    ]
    for ticket in done:
        harness.admission.finish(ticket, COMPLETED)
    return len(done)


def test_call_alone_neither_waits_forever_nor_blocks_for_long() -> None:
    """Guards against a pause that does not end while one long call runs."""
    harness = _Harness()
    harness.submit('long', timeout_s=60)
    harness.submit('alone', run_alone=True, timeout_s=8)
    waiting: list[admission.Ticket] = []
    idle_ticks = [_run_beside(harness, waiting) == 0 for _ in range(1000)]
    unreachable = enums.RefusalReason.DEADLINE_UNREACHABLE
    assert harness.reason('alone') is unreachable
    assert sum(idle_ticks) <= 300
    longest_idle_ticks = max(
        map(
            len,
            ''.join(
                'x' if was_idle else ' ' for was_idle in idle_ticks
            ).split(),
        )
    )
    assert longest_idle_ticks * 0.01 <= const.ALONE_MAX_PAUSE_S + 0.05


def test_many_calls_alone_leave_room_for_the_others() -> None:
    """Guards against a flood of suspects that blocks all other calls."""
    harness = _Harness()
    waiting: list[admission.Ticket] = []
    alone: list[admission.Ticket] = []
    served = 0
    for number in range(1000):
        alone.append(harness.submit(f'alone-{number}', run_alone=True))
        served += _run_beside(harness, waiting) > 0
        for ticket in alone:
            elapsed_s = harness.clock.monotonic() - ticket.started_at
            if elapsed_s > 0.1:
                harness.admission.finish(ticket, COMPLETED)
    assert served >= 750
    assert sum(name.startswith('alone') for name in harness.started) >= 5


def test_callbacks_may_call_admission() -> None:
    """Guards against deep recursion and repeated starts by callbacks."""
    harness = _Harness(slots=40)
    running = [harness.submit(f'running-{number}') for number in range(40)]
    tickets: list[admission.Ticket] = []
    for number in range(1500):
        tickets.append(
            harness.admission.submit(
                admission.AdmissionRequest(
                    call_id=ids.CallId(str(number)),
                    workspace=None,
                    weight=1.0,
                    importance=enums.Importance.NORMAL,
                    deadline=harness.clock.monotonic() + 1,
                ),
                lambda number=number: harness.admission.finish(
                    tickets[number], COMPLETED
                ),
                lambda refusal: pytest.fail(refusal.reason.value),
            )
        )
    harness.admission.finish(running[0], COMPLETED)
    assert harness.admission.in_flight == 39 and harness.admission.queued == 0


# Load in virtual time.


def _simulate(
    slots: int, flows: Sequence[admission_sim.Flow], until: float
) -> admission_sim.Simulation:
    simulation = admission_sim.Simulation(seed=23, real_slots=slots)
    for flow in flows:
        simulation.add_flow(flow)
    simulation.run(until)
    return simulation


def _flows(
    slots: int, rates: tuple[tuple[float, float], ...]
) -> list[admission_sim.Flow]:
    """Return 8 equal flows; rates are multiples of the capacity."""
    rate_unit = slots / SERVICE_S / 8
    return [
        admission_sim.Flow(
            workspace=f'w{number}',
            rates=tuple((since, load * rate_unit) for since, load in rates),
            service_s=SERVICE_S,
        )
        for number in range(8)
    ]


def test_goodput_at_twice_the_capacity() -> None:
    """Guards against congestion collapse and late or lost callbacks."""
    simulation = _simulate(45, _flows(45, ((0, 2.0), (10, 0.0))), 12)
    assert simulation.goodput(3, 10) >= 0.95
    assert simulation.reasons['timed_out'] < 20
    waits_s = sorted(simulation.waits_s)
    assert waits_s[int(0.99 * len(waits_s))] <= 0.2
    assert {request.callback_count for request in simulation.attempts} == {1}


def test_recovery_after_a_surge() -> None:
    """Guards against overload that retries sustain after a surge."""
    rates = ((0, 1.05), (4, 4.0), (8, 1.05))
    simulation = _simulate(45, _flows(45, rates), 16)
    assert simulation.goodput(5, 8) >= 0.95
    assert simulation.goodput(10, 16) >= 0.95
    assert simulation.admission is not None
    hint = simulation.admission.hint()
    assert hint.lowest_importance is enums.Importance.LOW


@pytest.mark.parametrize(('slots', 'load'), [(15, 2), (45, 2), (15, 4)])
def test_one_workspace_sends_ten_times_the_others(
    slots: int, load: int
) -> None:
    """Guards against a heavy workspace that starves the light ones."""
    rate_unit = load * slots / SERVICE_S / 17
    flows = [
        admission_sim.Flow(
            workspace=f'w{number}',
            rates=((0, rate_unit * (10 if number == 0 else 1)),),
            service_s=SERVICE_S,
        )
        for number in range(8)
    ]
    simulation = _simulate(slots, flows, 15)
    assert simulation.lowest_fair_share_ratio(3, 15) >= 0.9


def test_long_calls_take_no_more_than_their_share() -> None:
    """Guards against shares that count calls instead of slot time."""
    flows = [
        admission_sim.Flow(
            workspace=f'w{number}',
            rates=((0, 2 * 45 / 8 / SERVICE_S),),
            service_s=service_s,
            timeout_s=3.0,
            route=str(service_s),
        )
        for number, service_s in enumerate([10 * SERVICE_S] + 7 * [SERVICE_S])
    ]
    simulation = _simulate(45, flows, 15)
    shares = simulation.shares(3, 15)
    assert shares['w0'] <= 1.1 / 8
    assert min(shares.values()) >= 0.9 / 8


def test_critical_calls_are_refused_last_and_the_hint_says_so() -> None:
    """Guards against shedding that ignores classes, and a stale hint."""
    rate_unit = 45 / SERVICE_S
    simulation = admission_sim.Simulation(seed=23, real_slots=45)
    for importance in enums.Importance:
        simulation.add_flow(
            admission_sim.Flow(
                workspace=importance.name,
                rates=((3, 0.6 * rate_unit), (10, 0.05 * rate_unit)),
                service_s=SERVICE_S,
                importance=importance,
            )
        )
    assert simulation.admission is not None
    simulation.run(10)
    served = {
        importance: simulation.succeeded_by_class[importance]
        / simulation.sent_by_class[importance]
        for importance in enums.Importance
    }
    assert served[enums.Importance.CRITICAL] > 0.9
    assert sorted(served, key=lambda name: served[name]) == list(
        enums.Importance
    )
    hint = simulation.admission.hint()
    assert hint.lowest_importance is enums.Importance.HIGH
    simulation.run(11)
    hint = simulation.admission.hint()
    assert hint.lowest_importance is enums.Importance.LOW


def test_overload_by_one_class_keeps_it_admitted() -> None:
    """Guards against a hint that makes callers stop the only traffic."""
    simulation = _simulate(15, _flows(15, ((0, 10.0),)), 3)
    assert simulation.admission is not None
    hint = simulation.admission.hint()
    assert hint.lowest_importance <= enums.Importance.NORMAL
