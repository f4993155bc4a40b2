"""Limits the rate of calls with the quota objects alone, in one process.

Run with `script/python examples/embed_limiter.py`. The program uses no
network: it passes the messages between the quota objects itself and keeps the
configuration in memory.
"""

import collections
import random
import time

from sassafraswood import clock
from sassafraswood import const
from sassafraswood.coordination import quota_client
from sassafraswood.coordination import quota_owner
from sassafraswood.models import document
from sassafraswood.models import ids
from sassafraswood.models import messages
from sassafraswood.models import records

SERVICE = ids.ServiceName('van-booking')
WORKSPACE = ids.Workspace('blue')
OWN_DAEMON = records.Holder(
    daemon_id=ids.DaemonId('only'), incarnation=ids.Incarnation(1)
)


class InMemoryConfiguration:
    """Holds one document; this process owns all partitions."""

    def __init__(self, spec: document.WorkspaceSpec) -> None:
        """Create the document with the limits of its only workspace."""
        self._entry = records.DocumentEntry(
            service=SERVICE,
            revision=ids.Revision(1),
            offset=ids.Offset(1),
            document=document.ServiceDocument(
                version=1,
                service=SERVICE,
                routes=[],
                workspaces={WORKSPACE: spec},
            ),
        )

    def document(
        self, service: ids.ServiceName
    ) -> records.DocumentEntry | None:
        """Return the document of a service, None for an unknown service."""
        return self._entry if service == SERVICE else None

    def partition(
        self, service: ids.ServiceName, partition: int
    ) -> records.PartitionEntry | None:
        """Return a partition in its first term, owned by this process."""
        return records.PartitionEntry(
            service=service,
            partition=partition,
            term=ids.Term(1),
            owner=OWN_DAEMON,
            guardian=None,
            offset=ids.Offset(1),
            wait_s=0.0,
            continuous_since=ids.Term(1),
        )

    # This process is the only one, so it holds the lease of each partition.
    owned = partition


class QueueOutbox:
    """Queues messages until the program delivers them."""

    def __init__(self) -> None:
        """Start with an empty queue."""
        self.queue: collections.deque[messages.Message] = collections.deque()

    def send(self, daemon_id: ids.DaemonId, message: messages.Message) -> None:
        """Queue a message; its recipient is always this process."""
        self.queue.append(message)


def deliver(
    outbox: QueueOutbox,
    owner: quota_owner.QuotaOwner,
    client: quota_client.QuotaClient,
) -> None:
    """Pass queued requests to the owner and its replies to the client."""
    while outbox.queue:
        message = outbox.queue.popleft()
        if isinstance(message, messages.QuotaRequest):
            client.on_grant(owner.on_request(message), OWN_DAEMON.daemon_id)


def main() -> None:
    """Submit 60 calls per second for 3 s against a limit of 20 per second."""
    spec = document.WorkspaceSpec(rate=20.0, burst=10.0)
    configuration = InMemoryConfiguration(spec)
    system_clock = clock.SystemClock()
    outbox = QueueOutbox()
    owner = quota_owner.QuotaOwner(
        clock=system_clock, leases=configuration, configuration=configuration
    )
    client = quota_client.QuotaClient(
        clock=system_clock,
        random=random.Random(),
        outbox=outbox,
        own=OWN_DAEMON,
        configuration=configuration,
    )
    for partition in range(const.PARTITIONS_PER_SERVICE):
        owner.refresh(SERVICE, partition)
    # The token buckets of a new term start empty and fill in burst / rate s.
    time.sleep(spec.burst / spec.rate)
    counts: collections.Counter[str] = collections.Counter()

    def on_done(verdict: quota_client.QuotaVerdict) -> None:
        reason = verdict.reason
        counts['granted' if reason is None else reason.value] += 1

    for _ in range(180):
        verdict = client.take(SERVICE, WORKSPACE, on_done, const.QUOTA_WAIT_S)
        if verdict is not None:
            on_done(verdict)
        deliver(outbox, owner, client)
        time.sleep(1.0 / 60.0)
        client.tick()
        deliver(outbox, owner, client)
    time.sleep(const.QUOTA_WAIT_S)
    client.tick()
    for name, count in sorted(counts.items()):
        print(f'{name}: {count}')


if __name__ == '__main__':
    main()
