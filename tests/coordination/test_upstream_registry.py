"""Tests of the order of reports of an upstream."""

from sassafraswood import clock
from sassafraswood.coordination import upstream_registry
from sassafraswood.models import enums
from sassafraswood.models import fleet
from sassafraswood.models import ids

SERVICE = ids.ServiceName('ordering')
ADDRESS = ('10.0.0.1', 9000)


def make_registry(
    now: clock.ManualClock | None = None, *, knows_leaves: bool = True
):
    """Return a registry that waits 5 s for reports."""
    return upstream_registry.UpstreamRegistry(
        clock=now or clock.ManualClock(),
        service=SERVICE,
        address=ADDRESS,
        silence_s=5.0,
        knows_leaves=knows_leaves,
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
    """A report from before the leave must not bring the upstream back."""
    registry = make_registry()
    registry.apply(make_report())
    registry.apply(
        make_report(sequence=6, status=enums.UpstreamStatus.DRAINING)
    )
    assert not registry.apply(make_report(sequence=4))
    assert registry.status is enums.UpstreamStatus.DRAINING


def test_report_of_ended_process_changes_nothing() -> None:
    """The address belongs to the process that was born last."""
    registry = make_registry()
    registry.apply(make_report(instance_id='i2', born=200, sequence=1))
    assert not registry.apply(make_report(sequence=99))
    assert registry.report is not None
    assert registry.report.instance_id == 'i2'


def test_restart_with_the_same_id_counts_anew() -> None:
    """Its sequence starts again, its birth is later."""
    registry = make_registry()
    registry.apply(make_report())
    assert registry.apply(make_report(born=300, sequence=1))


def test_upstream_that_left_stays_away() -> None:
    """Reports that are still under way name no upstream to use."""
    registry = make_registry()
    registry.apply(make_report())
    registry.leave('i1', None)
    assert registry.status is enums.UpstreamStatus.ABSENT
    assert not registry.apply(make_report(sequence=6))
    assert registry.apply(make_report(instance_id='i2', born=200))


def test_report_of_another_writer_is_ignored() -> None:
    """Another service or address is not the upstream beside the daemon."""
    registry = make_registry()
    assert not registry.apply(make_report(service=ids.ServiceName('else')))
    assert not registry.apply(make_report(address=('10.0.0.2', 9000)))


def test_silence_ends_the_service() -> None:
    """A crashed upstream says nothing."""
    now = clock.ManualClock()
    registry = make_registry(now)
    registry.apply(make_report())
    now.advance(6.0)
    assert registry.status is enums.UpstreamStatus.CRASHED


def test_single_report_after_a_restart_may_be_old() -> None:
    """An upstream that left before the restart sends no second one."""
    now = clock.ManualClock()
    registry = make_registry(now, knows_leaves=False)
    registry.apply(make_report())
    assert registry.status is enums.UpstreamStatus.ABSENT
    registry.apply(make_report(sequence=6))
    assert registry.status is enums.UpstreamStatus.ABSENT
    now.advance(1.5)
    registry.apply(make_report(sequence=7))
    assert registry.status is enums.UpstreamStatus.READY


def test_leave_before_the_restart_binds() -> None:
    """The next process ignores reports from before the leave."""
    registry = make_registry(knows_leaves=False)
    registry.apply(make_report())
    registry.note_leaves(
        [fleet.UpstreamStart(instance_id='i1', born=100)], None
    )
    assert registry.status is enums.UpstreamStatus.ABSENT
    assert not registry.apply(make_report(sequence=6))


def test_known_leaves_confirm_the_first_report() -> None:
    """Nothing else needs to be waited for."""
    registry = make_registry(knows_leaves=False)
    registry.apply(make_report())
    registry.note_leaves([], None)
    assert registry.status is enums.UpstreamStatus.READY


def test_draining_report_counts_without_confirmation() -> None:
    """It keeps the gate closed, whatever was before."""
    registry = make_registry(knows_leaves=False)
    registry.apply(make_report(status=enums.UpstreamStatus.DRAINING))
    assert registry.status is enums.UpstreamStatus.DRAINING


def test_leave_is_not_taken_back() -> None:
    """Seed 34 of the soak: a ready report followed a draining one."""
    registry = make_registry()
    registry.apply(make_report(status=enums.UpstreamStatus.DRAINING))
    assert not registry.apply(make_report(sequence=6))
    assert registry.status is enums.UpstreamStatus.DRAINING
    assert registry.apply(make_report(born=300, sequence=1))
    assert registry.status is enums.UpstreamStatus.READY


def known(**changes) -> fleet.KnownUpstream:
    """Return what a former process knew."""
    values = {'instance_id': 'i1', 'born': 100, 'slots': 20}
    return fleet.KnownUpstream(**(values | changes))


def test_upstream_of_the_former_process_counts_as_ready() -> None:
    """Its first report is newer, whatever its number."""
    registry = make_registry(knows_leaves=False)
    registry.note_leaves([], None)
    assert registry.resume(known())
    assert registry.status is enums.UpstreamStatus.READY
    assert registry.apply(
        make_report(sequence=0, status=enums.UpstreamStatus.DRAINING)
    )
    assert registry.status is enums.UpstreamStatus.DRAINING


def test_upstream_that_left_is_not_resumed() -> None:
    """The leave binds the next process, whatever its health says."""
    registry = make_registry(knows_leaves=False)
    registry.note_leaves(
        [fleet.UpstreamStart(instance_id='i1', born=100)], None
    )
    assert not registry.resume(known())
    assert registry.status is enums.UpstreamStatus.ABSENT


def test_report_goes_before_what_a_former_process_knew() -> None:
    """The report is of now."""
    registry = make_registry()
    registry.apply(make_report(instance_id='i2', born=200))
    assert not registry.resume(known())
    assert registry.report is not None
    assert registry.report.instance_id == 'i2'


def test_leave_after_a_restart_binds_late_reports() -> None:
    """The call that tells it has no start, and no report came before it."""
    registry = make_registry(knows_leaves=False)
    registry.note_leaves([], known())
    leave = registry.leave('i1', None)
    assert leave == fleet.UpstreamStart(instance_id='i1', born=100)
    assert not registry.apply(make_report())
    assert registry.apply(make_report(born=200))


def test_leave_before_the_records_are_read_binds_late_reports() -> None:
    """The store may answer later than the upstream leaves."""
    registry = make_registry(knows_leaves=False)
    registry.leave('i1', None)
    registry.note_leaves([], known())
    assert not registry.apply(make_report())


def test_stored_leave_without_a_start_binds_late_reports() -> None:
    """The process that took it had no time to read the records."""
    registry = make_registry(knows_leaves=False)
    registry.note_leaves(
        [fleet.UpstreamStart(instance_id='i1', born=None)], known()
    )
    assert not registry.apply(make_report())
