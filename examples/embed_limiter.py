"""Limits calls with the quota objects alone, in one process.

Run with `script/python examples/embed_limiter.py`. Nothing is sent over a
network: this program passes the messages between the objects itself and
keeps the configuration in memory.
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
OWN = records.Holder(
    daemon_id=ids.DaemonId('only'), incarnation=ids.Incarnation(1)
)


class MemoryConfiguration:
    """One document, and all partitions owned by this process."""

    def __init__(self, spec: document.WorkspaceSpec) -> None:
        """Take rate and burst of the only workspace."""
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
        """Return the document of the only service."""
        return self._entry if service == SERVICE else None

    def partition(
        self, service: ids.ServiceName, partition: int
    ) -> records.PartitionEntry | None:
        """Return the first term of a partition."""
        return records.PartitionEntry(
            service=service,
            partition=partition,
            term=ids.Term(1),
            owner=OWN,
            guardian=None,
            offset=ids.Offset(1),
            wait_s=0.0,
            continuous_since=ids.Term(1),
        )

    # With one process there is nobody else who could hold a lease.
    owned = partition


class QueueOutbox:
    """Keeps messages until the program delivers them."""

    def __init__(self) -> None:
        """Start empty."""
        self.queue: collections.deque[messages.Message] = collections.deque()

    def send(self, daemon_id: ids.DaemonId, message: messages.Message) -> None:
        """Keep a message."""
        self.queue.append(message)


def deliver(
    outbox: QueueOutbox,
    owner: quota_owner.QuotaOwner,
    client: quota_client.QuotaClient,
) -> None:
    """Pass requests to the owner and answers to the client."""
    while outbox.queue:
        message = outbox.queue.popleft()
        if isinstance(message, messages.QuotaRequest):
            client.on_grant(owner.on_request(message), OWN.daemon_id)


def main() -> None:
    """Offer 60 calls/s for three seconds against a rate of 20/s."""
    spec = document.WorkspaceSpec(rate=20.0, burst=10.0)
    configuration = MemoryConfiguration(spec)
    system_clock = clock.SystemClock()
    outbox = QueueOutbox()
    owner = quota_owner.QuotaOwner(
        clock=system_clock, leases=configuration, configuration=configuration
    )
    client = quota_client.QuotaClient(
        clock=system_clock,
        random=random.Random(),
        outbox=outbox,
        own=OWN,
        configuration=configuration,
    )
    for partition in range(const.PARTITIONS_PER_SERVICE):
        owner.refresh(SERVICE, partition)
    # The buckets of a new term start empty and fill within burst / rate.
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
