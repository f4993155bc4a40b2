"""Tests of the state that is sent to the next owner of a partition."""

from unittest import mock

import msgspec

from lab import quota_simulation
from sassafraswood import clock as clock_module
from sassafraswood.coordination import hand_over
from sassafraswood.coordination import partition_lease
from sassafraswood.models import ids
from sassafraswood.models import messages
from sassafraswood.models import records


# Guards against a next owner that starts with empty buckets.
def test_first_part_has_the_limits() -> None:
    """The parts of the idempotency keys carry them."""
    holder = records.Holder(
        daemon_id=ids.DaemonId('a'), incarnation=ids.Incarnation(1)
    )
    entry = records.PartitionEntry(
        service=ids.ServiceName('status'),
        partition=0,
        term=ids.Term(1),
        owner=holder,
        guardian=None,
        offset=ids.Offset(1),
        wait_s=0.0,
        continuous_since=ids.Term(1),
    )
    first = quota_simulation.build_hand_over(entry, None)
    second = msgspec.structs.replace(first, part=1)
    state = messages.QuotaState(revision=ids.Revision(1), limits=[])
    clock = clock_module.ManualClock()
    plan = partition_lease.HandOverPlan(
        entry=entry, target=holder, started_at=clock.monotonic()
    )
    outbox = mock.Mock()
    hand_overs = hand_over.HandOvers(
        clock=clock,
        outbox=outbox,
        leases=mock.Mock(planned_hand_overs=lambda: [plan]),
        idempotency=mock.Mock(
            running=lambda *key: 0, export=lambda *key: [first, second]
        ),
        quota=mock.Mock(export=lambda exported: state),
        count=mock.Mock(),
    )
    hand_overs.tick()
    sent = [call.args[1] for call in outbox.send.call_args_list]
    assert [part.quota for part in sent] == [state, None]
