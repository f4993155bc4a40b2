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
# Bound on the difference in clock rate of two VMs. Over 4 hours 1% is 144 s,
# which LEASE_MARGIN_S doesn't cover, so owners stop that much earlier.
MAX_CLOCK_RATE_DIFFERENCE: Final = 0.025
GUARD_REQUEST_INTERVAL_S: Final = 1.0
# Silence after which a guardian claims and an owner changes its guardian.
OWNER_SILENT_S: Final = 5.0
GUARDIAN_SILENT_S: Final = 5.0
# A guardian that stopped answering isn't chosen again for this long, so that
# a broken link doesn't cause one append after another.
GUARDIAN_AVOID_S: Final = 60.0
# Decisions to append need a read of the log that is at most this old.
LOG_FRESH_S: Final = 5.0
# An append without an answer is repeated after this time.
APPEND_RETRY_S: Final = 2.0
# Time for members to become known before a free partition is claimed, and
# the additional wait of each daemon that is not first in order.
FREE_CLAIM_DELAY_S: Final = 1.0
CLAIM_RANK_DELAY_S: Final = 3.0
# Time for which owner and guardian must be known lost before anyone claims.
LOST_CLAIM_DELAY_S: Final = 10.0
BALANCE_INTERVAL_S: Final = 10.0
HAND_OVER_TIMEOUT_S: Final = 5.0
# A longer gap between ticks means that the process was paused.
TICK_GAP_S: Final = 2.0

# Quota.
QUOTA_TOKEN_LIFETIME_S: Final = 1.0
QUOTA_TOKEN_MARGIN_S: Final = 0.25
QUOTA_WAIT_S: Final = 0.05

# Idempotency.
IDEMPOTENCY_KEY_LIFETIME_S: Final = 600.0
OPAQUE_KEY_LIFETIME_S: Final = 24 * 3600.0
CLOCK_SKEW_S: Final = 2.0
MAX_IDEMPOTENCY_KEY_BYTES: Final = 128
IDEMPOTENCY_ANSWER_KEPT_S: Final = 600.0
MAX_IDEMPOTENCY_ENTRIES: Final = 50_000
MAX_IDEMPOTENCY_BYTES: Final = 32 * 1024 * 1024
# Overhead of one entry in the table besides key and answer.
IDEMPOTENCY_ENTRY_BYTES: Final = 400
MAX_IDEMPOTENCY_WAITERS: Final = 64
HAND_OVER_PART_BYTES: Final = 256 * 1024

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
