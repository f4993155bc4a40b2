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

HAND_OVER_RESEND_S: Final = 0.5

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
# How long a call waits for a partition that is being handed over.
OWNER_PATIENCE_S: Final = 3.0
OWNER_POLL_S: Final = 0.05
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
HEADER_TIMEOUT_S: Final = 10.0
BODY_TIMEOUT_S: Final = 10.0
CALLER_KEEP_ALIVE_S: Final = 75
MAX_BODY_BYTES: Final = 1024 * 1024
MAX_MESSAGE_BYTES: Final = 4 * 1024 * 1024
MAX_HEADER_BYTES: Final = 16 * 1024
CALL_ID_MEMORY_S: Final = 60.0
DEFAULT_RETRY_ALLOWANCE: Final = 2
RETRY_BUDGET_RATIO: Final = 0.1

# Peers.
HEARTBEAT_INTERVAL_S: Final = 1.0
PEER_SILENT_S: Final = 3.0
PEER_CONNECT_S: Final = 0.5
# Time for a serving daemon to say what became of a call.
CANCEL_QUERY_S: Final = 0.5
# Connections that are not used get no heartbeats after this time.
HEARTBEAT_IDLE_S: Final = 10.0
GOSSIP_IDLE_CLOSE_S: Final = 5.0
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
# Calls that broke this long before a crash was noticed belong to it.
CRASH_WINDOW_S: Final = 5.0
QUARANTINE_S: Final = 3600.0
# Longer than a quarantine, so that the first run after it is a lone one.
SUSPECT_S: Final = 2 * 3600.0
# A crash adds at most one entry per slot; this keeps the last few crashes.
MAX_SUSPECTS: Final = 1024
MAX_QUARANTINED: Final = 1024

# Routing.
# Bounds how long a wrong or outdated hint can act.
HINT_LIFETIME_S: Final = 1.0
PROBING_SHARE: Final = 0.02
COLD_START_SHARE: Final = 0.1
# Load of the own failure domain, relative to its limits, above which more
# calls leave it and below which fewer do. Between the two nothing changes.
DOMAIN_LOADED_RATIO: Final = 0.8
DOMAIN_RELIEVED_RATIO: Final = 0.6
REMOTE_SHARE_INTERVAL_S: Final = 0.1
REMOTE_SHARE_UP: Final = 0.25
REMOTE_SHARE_DOWN: Final = 0.05
# Difference in load from which a call leaves the own failure domain.
REMOTE_MARGIN: Final = 0.1
# Added to the load of an upstream in another region, half of its limit.
OTHER_REGION_LOAD: Final = 0.5
AVOID_BASE_S: Final = 0.1
AVOID_MAX_S: Final = 3.0
ROUTING_PURGE_S: Final = 10.0

# Retries.
RETRY_DELAY_BASE_S: Final = 0.02
RETRY_DELAY_MAX_S: Final = 1.0
# A retry with less time left than this cannot finish.
RETRY_MIN_REMAINING_S: Final = 0.01
# Retries that a service with little traffic may use before the ratio binds.
RETRY_BUDGET_RESERVE: Final = 10.0
RETRY_BUDGET_IDLE_S: Final = 600.0

# Limits per callee.
CALLEE_WINDOW_S: Final = 0.25
# Service time, relative to the usual one, from which a callee is slow.
CALLEE_SLOW_RATIO: Final = 3.0
# Calls that a slow callee may always hold, so that it can be measured.
CALLEE_MIN_LIMIT: Final = 8
# Fewer calls say too little about the usual service time.
CALLEE_MIN_SAMPLES: Final = 20
CALLEE_USUAL_GAIN: Final = 0.1
# Derived limit of each class, low to critical, over that of low calls. With
# one limit for all classes, less important calls held it at twice the
# capacity and a tenth of the critical calls was refused.
CALLEE_CLASS_FACTORS: Final = (1.0, 1.25, 1.75, 2.25)
# A service time that has doubled for good counts as usual after about
# 4 minutes (ln 2 / 0.003).
CALLEE_USUAL_DRIFT_PER_S: Final = 0.003

# Call tokens.
CALL_TOKEN_BITS: Final = 256
# Several times the largest number of slots, for calls that end late.
MAX_CALL_TOKENS: Final = 4096

# Log.
# The age of the last read swings between one and two waits, and has to stay
# below AUTHORIZATION_STALE_S.
LOG_POLL_WAIT_S: Final = 1.0
LOG_TIMEOUT_S: Final = 3.0
LOG_RETRY_S: Final = 0.5
PUBLISH_TIMEOUT_S: Final = 15.0
SNAPSHOT_INTERVAL_S: Final = 3600.0
SNAPSHOT_RECORDS: Final = 500
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
# Admission.
ADMISSION_TICK_S: Final = 0.01
IDLE_TICK_S: Final = 0.1
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

COLD_START_S: Final = 10.0

# Graceful stop.
# Time for others to hear that a daemon leaves before it refuses calls.
LEAVE_NOTICE_S: Final = 1.5
DRAIN_TIMEOUT_S: Final = 30.0

# Header names, lower case as ASGI gives them.
HEADER_RUN: Final = 'sassafraswood-run'
HEADER_CALL_TOKEN: Final = 'call-token'
# Sent by an upstream that sheds a call, with the token of the call.
HEADER_NOT_RUN: Final = 'call-not-run'
HEADER_TIMEOUT_MS: Final = 'request-timeout-ms'
HEADER_IDEMPOTENCY_KEY: Final = 'idempotency-key'
