"""Constants of sassafraswood."""

from typing import Final

VERSION: Final = '0.1.0'
PROTOCOL_VERSION: Final = 1

# Partitions and leases.
PARTITIONS_PER_SERVICE: Final = 3
LEASE_S: Final = 10.0
# Covers the difference in clock rate of two VMs over one lease.
LEASE_MARGIN_S: Final = 1.0
# A promise extends a lease at most this long beyond the last log read of
# the owner or the guardian, so that two lost daemons block a partition for
# a bounded time only.
MAX_LEASE_WITHOUT_LOG_S: Final = 4 * 3600.0

# Quota.
QUOTA_TOKEN_LIFETIME_S: Final = 1.0
QUOTA_TOKEN_MARGIN_S: Final = 0.25
QUOTA_WAIT_S: Final = 0.05

# Idempotency.
IDEMPOTENCY_KEY_LIFETIME_S: Final = 600.0
OPAQUE_KEY_LIFETIME_S: Final = 24 * 3600.0
CLOCK_SKEW_S: Final = 2.0
MAX_IDEMPOTENCY_KEY_BYTES: Final = 128

# Calls.
DEFAULT_TIMEOUT_S: Final = 10.0
MAX_TIMEOUT_S: Final = 60.0
MAX_CALL_DEPTH: Final = 16
MAX_BODY_BYTES: Final = 1024 * 1024
MAX_HEADER_BYTES: Final = 16 * 1024
CALL_ID_MEMORY_S: Final = 60.0
DEFAULT_RETRY_ALLOWANCE: Final = 2
RETRY_BUDGET_RATIO: Final = 0.1

# Peers.
HEARTBEAT_INTERVAL_S: Final = 1.0
PEER_SILENT_S: Final = 3.0
PEER_IDLE_CLOSE_S: Final = 60.0
GOSSIP_INTERVAL_S: Final = 1.0
GOSSIP_FANOUT: Final = 3
MEMBER_FORGET_S: Final = 600.0

# Keys.
AUTHORIZATION_STALE_S: Final = 3.0

# Crashing requests.
QUARANTINE_S: Final = 3600.0

# Log.
LOG_POLL_WAIT_S: Final = 2.0
LOG_TIMEOUT_S: Final = 3.0
LOG_BATCH_RECORDS: Final = 500

# Admission.
ADMISSION_TICK_S: Final = 0.01
# Waiting time allowed while a queue lasts; raised to this many starts, so
# that a slow upstream always finds the next call waiting.
QUEUE_TARGET_S: Final = 0.02
QUEUE_TARGET_STARTS: Final = 16
# Waiting time allowed to a burst: the queue was empty this recently.
QUEUE_BURST_S: Final = 0.2
QUEUE_MIN_ENTRIES: Final = 32
QUEUE_ENTRIES_PER_SLOT: Final = 4
# Calls that run alone stop the others for at most this long while the
# upstream empties, and then for at most ALONE_RUN_S.
ALONE_DRAIN_S: Final = 1.0
ALONE_RUN_S: Final = 5.0
ALONE_PATIENCE_S: Final = 0.2
ALONE_MAX_QUEUED: Final = 8

# Connections to upstreams.
UPSTREAM_CONNECT_TIMEOUT_S: Final = 1.0
UPSTREAM_IDLE_S: Final = 5.0

# Graceful stop.
DRAIN_TIMEOUT_S: Final = 30.0

# Header names, lower case as ASGI gives them.
HEADER_RUN: Final = 'sassafraswood-run'
HEADER_CALL_TOKEN: Final = 'call-token'
HEADER_TIMEOUT_MS: Final = 'request-timeout-ms'
HEADER_IDEMPOTENCY_KEY: Final = 'idempotency-key'
