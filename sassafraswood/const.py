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
# Longest time for which a refusal is repeated without asking the owners.
QUOTA_REFUSAL_MEMORY_S: Final = 0.05
QUOTA_TICK_S: Final = 0.02
# Tokens live 1 s; asking for half of that leaves time to use them.
QUOTA_PREFETCH_S: Final = 0.5
# At a demand equal to the rate, all first daemons together hold about
# this share of the burst unspent and at most as much spent but unreported.
QUOTA_BURST_FRACTION: Final = 0.25
# An owner keeps this part of its share for calls that wait already.
QUOTA_RESERVE_FRACTION: Final = 0.3
# Below this burst, bucket levels that drift apart refuse calls, so a call
# that waits asks all three owners for a part each and spending is reported
# at once.
QUOTA_EVEN_BURST: Final = 15.0
# Prefetching from a smaller burst would keep whole tokens from others.
QUOTA_MIN_PREFETCH_BURST: Final = 6.0
# An owner that does not answer in this time is asked again only as a probe.
QUOTA_ANSWER_TIMEOUT_S: Final = 0.05
QUOTA_PROBE_INTERVAL_S: Final = 0.1
# Twice the longest exchange between failure domains, after which the other
# owners are asked as well.
QUOTA_HEDGE_S: Final = 0.015
# A call waits for QUOTA_WAIT_S and its daemon acts each QUOTA_TICK_S, so
# what is kept for a first daemon that does not ask in this time is free.
QUOTA_CLAIM_S: Final = 0.075
# A repeated request that is older can only name expired grants.
QUOTA_SEQUENCE_MEMORY_S: Final = 60.0
# Absorbs rounding when fractions of three partitions make up one token.
QUOTA_EPSILON: Final = 1e-9

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
