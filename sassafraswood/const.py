"""Constants of sassafraswood."""

from typing import Final

VERSION: Final = '0.1.0'
PROTOCOL_VERSION: Final = 1

# Names of services, workspaces, daemons, keys and failure domains.
NAME_PATTERN: Final = '[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?'

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
# Differences of member tables that one daemon resolves per second. Bounds
# the bytes while many members change; see docs/decisions/membership.md.
GOSSIP_EXCHANGES_PER_S: Final = 1
# Buckets of the member table, each with a hash of its own.
GOSSIP_BUCKETS: Final = 128
# Fewer than half of all buckets are resolved a few at a time; a table that
# differs in more is that of a new member and is sent at once.
GOSSIP_BUCKETS_PER_EXCHANGE: Final = 5
# Members per digest whose last sign of life is passed on.
GOSSIP_HEARD_MEMBERS: Final = 16
# With an older read of the log, digests go to every failure domain, so that
# an outage of the log is told from being cut off. Below
# AUTHORIZATION_STALE_S by one gossip interval.
GOSSIP_PROBE_LOG_AGE_S: Final = 2.0
# A longer time between two ticks means that this daemon was suspended.
GOSSIP_PAUSE_S: Final = 5.0
MEMBER_FORGET_S: Final = 600.0

# Keys.
AUTHORIZATION_STALE_S: Final = 3.0

# Crashing requests.
QUARANTINE_S: Final = 3600.0

# Log.
LOG_POLL_WAIT_S: Final = 2.0
LOG_TIMEOUT_S: Final = 3.0
LOG_BATCH_RECORDS: Final = 500

# Folded state. The bounds are part of the fold: daemons with other values
# would disagree about repeated publications. At 740 changes a day the
# results of almost three days are remembered.
MAX_PUBLICATION_RESULTS: Final = 2048
MAX_PUBLICATION_ID_CHARACTERS: Final = 128
MAX_PUBLICATION_DETAIL_CHARACTERS: Final = 1000
MAX_LOGGED_MEMBERS: Final = 2048
MAX_QUARANTINES: Final = 1024
# Log entries kept for peers; not part of the fold.
RECENT_ENTRIES: Final = 1024
RECENT_ENTRY_BYTES: Final = 1024 * 1024

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
