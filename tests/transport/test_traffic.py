"""Tests of the traffic counts of control messages."""

from sassafraswood.models import ids
from sassafraswood.models import messages
from sassafraswood.transport import traffic


def test_counts_are_kept_apart_by_direction_and_tag() -> None:
    """Guards against mixed counts, which hide the cost of each kind."""
    counts = traffic.Traffic()
    ping = messages.Ping(
        sequence=1,
        daemon_id=ids.DaemonId('daemon-1'),
        incarnation=ids.Incarnation(1),
    )
    counts.note_message(traffic.SENT, ping, 50)
    counts.note_message(traffic.SENT, ping, 51)
    counts.note_message(traffic.RECEIVED, ping, 52)
    counts.note(traffic.SENT, 'log_read', 300)
    assert counts.counts == {
        'sent.ping': traffic.TrafficCount(messages=2, bytes=101),
        'received.ping': traffic.TrafficCount(messages=1, bytes=52),
        'sent.log_read': traffic.TrafficCount(messages=1, bytes=300),
    }
