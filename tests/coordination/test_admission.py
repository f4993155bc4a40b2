"""Tests of admission: single calls, and load in virtual time."""

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


class _Bench:
    """An admission with a warm upstream and a record of callbacks."""

    def __init__(self, slots: int = 2) -> None:
        self.clock = clock.ManualClock()
        self.admission = admission.Admission(
            clock=self.clock, random=random.Random(1)
        )
        self.started: list[str] = []
        self.refused: dict[str, call.Refusal] = {}
        # A tenth of ten times the slots: the cold limit is `slots`.
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
        """Let time pass in ticks."""
        for _ in range(round(seconds / const.ADMISSION_TICK_S)):
            self.clock.advance(const.ADMISSION_TICK_S)
            self.admission.tick()

    def reason(self, name: str) -> enums.RefusalReason:
        """Return the reason of a refusal after checking its promise."""
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
    bench = _Bench()
    tickets = [bench.submit(name) for name in 'wxyz']
    assert bench.started == ['w', 'x']
    bench.admission.finish(tickets[0], COMPLETED)
    bench.admission.finish(tickets[0], COMPLETED)
    assert bench.started == ['w', 'x', 'y']
    assert bench.admission.in_flight == 2


def test_cancel_of_waiting_and_running_calls() -> None:
    """Guards against leaked slots and callbacks after a cancellation."""
    bench = _Bench()
    running, _ = bench.submit('w'), bench.submit('x')
    waiting, _ = bench.submit('y'), bench.submit('z')
    bench.admission.cancel(waiting)
    bench.admission.cancel(running)
    bench.admission.cancel(running)
    bench.admission.finish(running, COMPLETED)
    bench.advance(0.05)
    assert bench.started == ['w', 'x', 'z']
    assert not bench.refused and bench.admission.in_flight == 2


@pytest.mark.parametrize(
    ('status', 'reason'),
    [
        (enums.UpstreamStatus.DRAINING, enums.RefusalReason.DRAINING),
        (enums.UpstreamStatus.CRASHED, enums.RefusalReason.NO_UPSTREAM),
        (enums.UpstreamStatus.ABSENT, enums.RefusalReason.NO_UPSTREAM),
    ],
)
def test_upstream_that_stops(
    status: enums.UpstreamStatus, reason: enums.RefusalReason
) -> None:
    """Guards against queued work held for, or started at, a leaving one."""
    bench = _Bench()
    tickets = [bench.submit(name) for name in 'wxy']
    bench.submit('alone', run_alone=True)
    bench.admission.set_upstream(status, 20)
    bench.submit('late')
    assert {bench.reason(name) for name in ('y', 'alone', 'late')} == {reason}
    bench.admission.finish(tickets[0], COMPLETED)
    assert bench.started == ['w', 'x']
    bench.admission.set_upstream(enums.UpstreamStatus.READY, 20)
    bench.submit('new')
    assert bench.started == ['w', 'x', 'new']


def test_waiting_calls_end_by_their_deadline_or_the_sojourn_bound() -> None:
    """Guards against calls that wait for longer than helps anyone."""
    bench = _Bench()
    bench.submit('w')
    bench.submit('x')
    bench.submit('short', timeout_s=0.05)
    bench.submit('long')
    bench.submit('past', timeout_s=0.0)
    bench.advance(0.06)
    unreachable = enums.RefusalReason.DEADLINE_UNREACHABLE
    assert bench.reason('past') is bench.reason('short') is unreachable
    assert 'long' not in bench.refused
    bench.advance(const.QUEUE_BURST_S)
    assert bench.reason('long') is enums.RefusalReason.OVERLOADED


def test_deadline_is_checked_against_service_time_and_position() -> None:
    """Guards against work that is started and cannot finish in time."""
    bench = _Bench()
    for _ in range(200):
        ticket = bench.submit('warm-up')
        bench.advance(0.1)
        bench.admission.finish(ticket, COMPLETED)
    limit = bench.admission.limit
    for number in range(limit):
        bench.submit(f'running-{number}')
    bench.submit('hopeless', timeout_s=0.09)
    assert bench.reason('hopeless') is enums.RefusalReason.DEADLINE_UNREACHABLE
    bench.submit('possible', timeout_s=0.2)
    assert 'possible' not in bench.refused
    for number in range(2 * limit):
        bench.submit(f'waiting-{number}')
    bench.submit('behind', timeout_s=0.2)
    assert bench.reason('behind') is enums.RefusalReason.DEADLINE_UNREACHABLE
    retry_after_s = bench.refused['behind'].retry_after_s
    assert retry_after_s is not None and 0.1 < retry_after_s < 1.0


def test_call_alone_runs_with_nothing_beside_it() -> None:
    """Guards against a suspect that crashes the calls beside it."""
    bench = _Bench()
    tickets = [bench.submit('w'), bench.submit('x')]
    alone = bench.submit('alone', run_alone=True)
    bench.advance(const.ALONE_PATIENCE_S + 0.05)
    bench.submit('y')
    bench.admission.finish(tickets[0], COMPLETED)
    assert bench.started == ['w', 'x']
    bench.admission.finish(tickets[1], COMPLETED)
    assert bench.started == ['w', 'x', 'alone']
    assert alone.ends_by <= bench.clock.monotonic() + const.ALONE_RUN_S
    bench.admission.finish(alone, COMPLETED)
    assert bench.started == ['w', 'x', 'alone', 'y']


def _run_beside(bench: _Bench, waiting: list[admission.Ticket]) -> int:
    """Submit a call, let a tick pass and finish what runs; return how many."""
    waiting.append(bench.submit(f'beside-{bench.clock.monotonic()}'))
    bench.advance(0.01)
    done = [
        ticket
        for ticket in waiting
        if ticket.state is admission.TicketState.RUNNING
    ]
    for ticket in done:
        bench.admission.finish(ticket, COMPLETED)
    return len(done)


def test_call_alone_neither_waits_for_ever_nor_blocks_for_long() -> None:
    """Guards against a stop that never ends because one call is long."""
    bench = _Bench()
    bench.submit('long', timeout_s=60)
    bench.submit('alone', run_alone=True, timeout_s=8)
    waiting: list[admission.Ticket] = []
    idle = [_run_beside(bench, waiting) == 0 for _ in range(1000)]
    unreachable = enums.RefusalReason.DEADLINE_UNREACHABLE
    assert bench.reason('alone') is unreachable
    assert sum(idle) <= 300
    longest = max(map(len, ''.join('x' if i else ' ' for i in idle).split()))
    assert longest * 0.01 <= const.ALONE_DRAIN_S + 0.05


def test_many_calls_alone_leave_room_for_the_others() -> None:
    """Guards against a flood of suspects that stops all other calls."""
    bench = _Bench()
    waiting: list[admission.Ticket] = []
    alone: list[admission.Ticket] = []
    served = 0
    for number in range(1000):
        alone.append(bench.submit(f'alone-{number}', run_alone=True))
        served += _run_beside(bench, waiting) > 0
        for ticket in alone:
            ran_s = bench.clock.monotonic() - ticket.started_at
            if ran_s > 0.1:
                bench.admission.finish(ticket, COMPLETED)
    assert served >= 750
    assert sum(name.startswith('alone') for name in bench.started) >= 5


def test_callbacks_may_come_back() -> None:
    """Guards against deep recursion and double starts by callbacks."""
    bench = _Bench(slots=40)
    running = [bench.submit(f'running-{number}') for number in range(40)]
    tickets: list[admission.Ticket] = []
    for number in range(1500):
        tickets.append(
            bench.admission.submit(
                admission.AdmissionRequest(
                    call_id=ids.CallId(str(number)),
                    workspace=None,
                    weight=1.0,
                    importance=enums.Importance.NORMAL,
                    deadline=bench.clock.monotonic() + 1,
                ),
                lambda number=number: bench.admission.finish(
                    tickets[number], COMPLETED
                ),
                lambda refusal: pytest.fail(refusal.reason.value),
            )
        )
    bench.admission.finish(running[0], COMPLETED)
    assert bench.admission.in_flight == 39 and bench.admission.queued == 0


# Load in virtual time.


def _simulate(
    slots: int, flows: Sequence[admission_sim.Flow], until: float
) -> admission_sim.Simulation:
    simulation = admission_sim.Simulation(seed=23, real_slots=slots)
    for flow in flows:
        simulation.add(flow)
    simulation.run(until)
    return simulation


def _flows(
    slots: int, rates: tuple[tuple[float, float], ...]
) -> list[admission_sim.Flow]:
    """Return 8 equal flows; rates are in units of the capacity."""
    unit = slots / SERVICE_S / 8
    return [
        admission_sim.Flow(
            workspace=f'w{number}',
            rates=tuple((since, load * unit) for since, load in rates),
            service_s=SERVICE_S,
        )
        for number in range(8)
    ]


def test_goodput_at_twice_the_load() -> None:
    """Guards against congestion collapse and late or lost callbacks."""
    simulation = _simulate(45, _flows(45, ((0, 2.0), (10, 0.0))), 12)
    assert simulation.goodput(3, 10) >= 0.95
    assert simulation.reasons['timed_out'] < 20
    waits_s = sorted(simulation.waits_s)
    assert waits_s[int(0.99 * len(waits_s))] <= 0.2
    assert {request.callbacks for request in simulation.tries} == {1}


def test_recovery_after_a_surge() -> None:
    """Guards against lasting overload by retries after a surge."""
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
    """Guards against a large sender that crowds out the small ones."""
    unit = load * slots / SERVICE_S / 17
    flows = [
        admission_sim.Flow(
            workspace=f'w{number}',
            rates=((0, unit * (10 if number == 0 else 1)),),
            service_s=SERVICE_S,
        )
        for number in range(8)
    ]
    simulation = _simulate(slots, flows, 15)
    assert simulation.worst_share(3, 15) >= 0.9


def test_long_calls_take_no_more_than_their_share() -> None:
    """Guards against shares by number of calls."""
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
    """Guards against shedding across classes, and a hint that sticks."""
    unit = 45 / SERVICE_S
    simulation = admission_sim.Simulation(seed=23, real_slots=45)
    for importance in enums.Importance:
        simulation.add(
            admission_sim.Flow(
                workspace=importance.name,
                rates=((3, 0.6 * unit), (10, 0.05 * unit)),
                service_s=SERVICE_S,
                importance=importance,
            )
        )
    assert simulation.admission is not None
    simulation.run(10)
    served = {
        importance: simulation.good_by_class[importance]
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


def test_overload_of_one_class_does_not_close_it() -> None:
    """Guards against a hint that keeps the only traffic away."""
    simulation = _simulate(15, _flows(15, ((0, 10.0),)), 3)
    assert simulation.admission is not None
    hint = simulation.admission.hint()
    assert hint.lowest_importance <= enums.Importance.NORMAL
