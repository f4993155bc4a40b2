"""Tests of the order in which reports of an upstream apply."""

import dataclasses

import pytest

from sassafraswood import clock
from sassafraswood.coordination import upstream_registry
from sassafraswood.models import enums
from sassafraswood.models import fleet
from sassafraswood.models import ids

SERVICE = ids.ServiceName('ordering')
ADDRESS = ('10.0.0.1', 9000)


def make_registry(
    manual_clock: clock.ManualClock | None = None,
    *,
    are_leaves_known: bool = True,
    needs_health_check: bool = False,
):
    """Return a registry that allows 5 s without a report."""
    return upstream_registry.UpstreamRegistry(
        clock=manual_clock or clock.ManualClock(),
        service=SERVICE,
        address=ADDRESS,
        silence_s=5.0,
        are_leaves_known=are_leaves_known,
        needs_health_check=needs_health_check,
    )


def make_report(**changes) -> fleet.UpstreamReport:
    """Return a report of a ready upstream."""
    values = {
        'instance_id': 'i1',
        'service': SERVICE,
        'address': ADDRESS,
        'born': 100,
        'sequence': 5,
        'slots': 20,
        'status': enums.UpstreamStatus.READY,
        'cold_left_s': 0.0,
    }
    return fleet.UpstreamReport(**(values | changes))


def test_late_report_changes_nothing() -> None:
    """A delayed report must not make a draining upstream ready again."""
    registry = make_registry()
    registry.apply(make_report())
    registry.apply(
        make_report(sequence=6, status=enums.UpstreamStatus.DRAINING)
    )
    assert not registry.apply(make_report(sequence=4))
    assert registry.status is enums.UpstreamStatus.DRAINING


def test_report_of_ended_process_changes_nothing() -> None:
    """The address belongs to the process that started last."""
    registry = make_registry()
    registry.apply(make_report(instance_id='i2', born=200, sequence=1))
    assert not registry.apply(make_report(sequence=99))
    assert registry.report is not None
    assert registry.report.instance_id == 'i2'


def test_restart_with_the_same_id_is_a_new_process() -> None:
    """The sequence restarts, but the start of the process is later."""
    registry = make_registry()
    registry.apply(make_report())
    assert registry.apply(make_report(born=300, sequence=1))


def test_reports_after_a_leave_are_ignored() -> None:
    """Reports still in transit at the leave are ignored."""
    registry = make_registry()
    registry.apply(make_report())
    registry.leave('i1', None)
    assert registry.status is enums.UpstreamStatus.ABSENT
    assert not registry.apply(make_report(sequence=6))
    assert registry.apply(make_report(instance_id='i2', born=200))


def test_report_of_another_service_or_address_is_ignored() -> None:
    """Only the service and address beside the daemon count."""
    registry = make_registry()
    assert not registry.apply(make_report(service=ids.ServiceName('else')))
    assert not registry.apply(make_report(address=('10.0.0.2', 9000)))


def test_silent_upstream_counts_as_crashed() -> None:
    """An upstream that sends no reports counts as crashed."""
    manual_clock = clock.ManualClock()
    registry = make_registry(manual_clock)
    registry.apply(make_report())
    manual_clock.advance(6.0)
    assert registry.status is enums.UpstreamStatus.CRASHED


def test_single_report_after_a_restart_may_be_old() -> None:
    """Only a live upstream sends a second report after an interval.

    A delayed report may come from an upstream that left before the restart.
    """
    manual_clock = clock.ManualClock()
    registry = make_registry(manual_clock, are_leaves_known=False)
    registry.apply(make_report())
    assert registry.status is enums.UpstreamStatus.ABSENT
    registry.apply(make_report(sequence=6))
    assert registry.status is enums.UpstreamStatus.ABSENT
    manual_clock.advance(1.5)
    registry.apply(make_report(sequence=7))
    assert registry.status is enums.UpstreamStatus.READY


def test_leave_before_the_restart_holds() -> None:
    """The next process of the daemon ignores upstreams that had left."""
    registry = make_registry(are_leaves_known=False)
    registry.apply(make_report())
    registry.record_leaves(
        [fleet.UpstreamProcess(instance_id='i1', born=100)], None
    )
    assert registry.status is enums.UpstreamStatus.ABSENT
    assert not registry.apply(make_report(sequence=6))


def test_known_leaves_confirm_the_first_report() -> None:
    """Once the leaves are known, a second report is not needed."""
    registry = make_registry(are_leaves_known=False)
    registry.apply(make_report())
    registry.record_leaves([], None)
    assert registry.status is enums.UpstreamStatus.READY


def test_draining_report_counts_without_confirmation() -> None:
    """A draining upstream gets no calls, so no confirmation is needed."""
    registry = make_registry(are_leaves_known=False)
    registry.apply(make_report(status=enums.UpstreamStatus.DRAINING))
    assert registry.status is enums.UpstreamStatus.DRAINING


def test_drain_is_not_reverted() -> None:
    """Guards against a ready report that follows a draining one.

    The soak test with seed 34 produced this order.
    """
    registry = make_registry()
    registry.apply(make_report(status=enums.UpstreamStatus.DRAINING))
    assert not registry.apply(make_report(sequence=6))
    assert registry.status is enums.UpstreamStatus.DRAINING
    assert registry.apply(make_report(born=300, sequence=1))
    assert registry.status is enums.UpstreamStatus.READY


def make_known_upstream(**changes) -> fleet.StoredUpstream:
    """Return an upstream as stored by the previous process."""
    values = {'instance_id': 'i1', 'born': 100, 'slots': 20}
    return fleet.StoredUpstream(**(values | changes))


def test_resumed_upstream_counts_as_ready() -> None:
    """Any report is newer than the stored state, whatever its sequence."""
    registry = make_registry(are_leaves_known=False)
    registry.record_leaves([], None)
    assert registry.resume(make_known_upstream())
    assert registry.status is enums.UpstreamStatus.READY
    assert registry.apply(
        make_report(sequence=0, status=enums.UpstreamStatus.DRAINING)
    )
    assert registry.status is enums.UpstreamStatus.DRAINING


def test_upstream_that_left_is_not_resumed() -> None:
    """The leave holds for the next process, even if a probe succeeds."""
    registry = make_registry(are_leaves_known=False)
    registry.record_leaves(
        [fleet.UpstreamProcess(instance_id='i1', born=100)], None
    )
    assert not registry.resume(make_known_upstream())
    assert registry.status is enums.UpstreamStatus.ABSENT


def test_report_takes_precedence_over_the_stored_state() -> None:
    """A report is more recent than the stored state."""
    registry = make_registry()
    registry.apply(make_report(instance_id='i2', born=200))
    assert not registry.resume(make_known_upstream())
    assert registry.report is not None
    assert registry.report.instance_id == 'i2'


def test_leave_after_a_restart_binds_late_reports() -> None:
    """The leave carries no start, and no report arrived before it.

    The start comes from the state that the previous process stored.
    """
    registry = make_registry(are_leaves_known=False)
    registry.record_leaves([], make_known_upstream())
    leave = registry.leave('i1', None)
    assert leave == fleet.UpstreamProcess(instance_id='i1', born=100)
    assert not registry.apply(make_report())
    assert registry.apply(make_report(born=200))


def test_leave_before_the_records_are_read_blocks_late_reports() -> None:
    """The store may respond only after the upstream has left."""
    registry = make_registry(are_leaves_known=False)
    registry.leave('i1', None)
    registry.record_leaves([], make_known_upstream())
    assert not registry.apply(make_report())


def test_stored_leave_without_a_start_blocks_late_reports() -> None:
    """The process that stored the leave had not yet read the records."""
    registry = make_registry(are_leaves_known=False)
    registry.record_leaves(
        [fleet.UpstreamProcess(instance_id='i1', born=None)],
        make_known_upstream(),
    )
    assert not registry.apply(make_report())


# Guards against reports from before a leave that could not be stored.
def test_reports_wait_for_a_health_check_after_a_restart() -> None:
    """Neither known leaves nor further reports replace the health check."""
    manual_clock = clock.ManualClock()
    registry = make_registry(
        manual_clock, are_leaves_known=False, needs_health_check=True
    )
    registry.record_leaves([], None)
    for sequence in (5, 6, 7):
        assert registry.apply(make_report(sequence=sequence))
        assert registry.status is enums.UpstreamStatus.ABSENT
        manual_clock.advance(1.5)
    assert not registry.confirm('i2')
    assert registry.confirm('i1')
    assert registry.status is enums.UpstreamStatus.READY
    assert registry.apply(make_report(instance_id='i2', born=200))
    assert registry.report is not None
    assert registry.report.instance_id == 'i2'


def test_leave_discards_the_unconfirmed_report() -> None:
    """A health check that began before the leave does not undo it."""
    registry = make_registry(needs_health_check=True)
    registry.apply(make_report())
    registry.leave('i1', None)
    assert not registry.confirm('i1')
    assert registry.status is enums.UpstreamStatus.ABSENT


def test_upstream_without_a_health_check_is_confirmed_by_reports() -> None:
    """A service that the rules do not name has no health path."""
    registry = make_registry(needs_health_check=True)
    registry.apply(make_report())
    assert registry.status is enums.UpstreamStatus.ABSENT
    registry.waive_health_check()
    registry.apply(make_report(sequence=6))
    assert registry.status is enums.UpstreamStatus.READY


# Guards against VMs that are no longer members although their upstream runs.
def test_upstream_that_has_not_reported_yet_has_not_left() -> None:
    """After a restart it has left only if the former process stored that."""
    former = fleet.StoredUpstream(instance_id='i1', born=100, slots=20)
    leave = fleet.UpstreamProcess(instance_id='i1', born=100)
    registry = make_registry(are_leaves_known=False)
    assert not registry.has_left
    registry.record_leaves([], former)
    assert not registry.has_left
    registry.apply(make_report())
    assert not registry.has_left
    registry.leave('i1', 100)
    assert registry.has_left
    registry = make_registry(are_leaves_known=False)
    registry.record_leaves([leave], former)
    assert registry.has_left


def test_next_upstream_has_not_left() -> None:
    """A report that still needs a health check shows another upstream."""
    registry = make_registry(needs_health_check=True)
    assert registry.has_left
    registry.apply(make_report())
    assert not registry.has_left
    registry.leave('i1', 100)
    assert registry.has_left
    registry.apply(make_report(instance_id='i2', born=200))
    assert not registry.has_left


# Guards against an upstream that is never served, since the clock of its VM
# was set back between the crash of the former one and its start.
def test_start_before_that_of_a_crashed_upstream_is_confirmed() -> None:
    """A health check decides, unless the former one is alive."""
    registry = make_registry()
    registry.apply(make_report())
    report = make_report(instance_id='i2', born=50, sequence=1)
    assert not registry.apply(report)
    registry.note_crash()
    assert registry.apply(report)
    assert registry.status is enums.UpstreamStatus.CRASHED
    assert registry.confirm('i2')
    assert registry.status is enums.UpstreamStatus.READY
    assert not registry.apply(make_report(sequence=99))


# Guards against an upstream that is served after its leave was acknowledged.
@pytest.mark.parametrize('has_reported', [True, False])
@pytest.mark.parametrize('is_deregistered', [True, False])
def test_leave_of_an_unconfirmed_upstream_binds(
    has_reported, is_deregistered
) -> None:
    """No late report and no health check makes it ready."""
    registry = make_registry()
    registry.apply(make_report())
    registry.note_crash()
    ready = make_report(instance_id='i2', born=50, sequence=1)
    if has_reported:
        registry.apply(ready)
    if is_deregistered:
        registry.leave('i2', None if has_reported else 50)
    else:
        draining = enums.UpstreamStatus.DRAINING
        assert registry.apply(dataclasses.replace(ready, status=draining))
    assert not registry.apply(dataclasses.replace(ready, sequence=3))
    assert not registry.confirm('i2')
    assert registry.status is not enums.UpstreamStatus.READY
