"""Constants that several modules share."""

from typing import Final

VERSION: Final = '0.1.0'
PROTOCOL_VERSION: Final = 1

# Pattern of the names of services, workspaces, daemons, keys and failure
# domains.
NAME_PATTERN: Final = '[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?'

# Partitions of a service, and the leases of their owners.
PARTITIONS_PER_SERVICE: Final = 3
LEASE_S: Final = 10.0
# Covers the difference in clock rate of two VMs during one lease.
LEASE_MARGIN_S: Final = 1.0
# Longest extension of a lease by promises of the guardian beyond the last log
# read of the owner or the guardian. It bounds how long a partition has no
# owner after both are lost.
MAX_LEASE_WITHOUT_LOG_S: Final = 4 * 3600.0
# Upper bound on the relative difference in clock rate of two VMs. Even 1% is
# 144 s over 4 hours, more than LEASE_MARGIN_S, so owners end long leases
# earlier by this fraction.
MAX_CLOCK_RATE_DIFFERENCE: Final = 0.025
GUARD_REQUEST_INTERVAL_S: Final = 1.0
# Time without a message from the owner after which the guardian claims the
# partition, and from the guardian after which the owner replaces it.
OWNER_TIMEOUT_S: Final = 5.0
GUARDIAN_TIMEOUT_S: Final = 5.0
# Time for which a guardian that stopped replying is not chosen again, so that
# a broken link does not cause repeated appends to the log.
GUARDIAN_EXCLUSION_S: Final = 60.0
# Largest age of the last log read with which a daemon decides to append.
MAX_LOG_READ_AGE_S: Final = 5.0
# Time after which an append without a response is retried.
APPEND_RETRY_S: Final = 2.0
# Delay before a free partition is claimed, so that gossip can spread the
# members first, and the additional delay per rank, so that daemons do not
# claim at once.
FREE_CLAIM_DELAY_S: Final = 1.0
CLAIM_RANK_DELAY_S: Final = 3.0
# Time for which owner and guardian must be lost before another daemon claims
# the partition.
LOST_HOLDERS_CLAIM_DELAY_S: Final = 10.0
BALANCE_INTERVAL_S: Final = 10.0
HAND_OVER_TIMEOUT_S: Final = 5.0
# A longer gap between two ticks means that the process was paused.
LEASE_MAX_TICK_GAP_S: Final = 2.0
HAND_OVER_RESEND_S: Final = 0.5

# Quota: tokens that partition owners grant to the daemons that spend them.
QUOTA_TOKEN_LIFETIME_S: Final = 1.0
QUOTA_TOKEN_MARGIN_S: Final = 0.25
QUOTA_WAIT_S: Final = 0.05
# Longest time for which calls are refused after a refusal without a new
# request to the owners.
QUOTA_REFUSAL_CACHE_S: Final = 0.05
QUOTA_TICK_S: Final = 0.02
# Longest time whose expected demand is prefetched as tokens. Half of
# QUOTA_TOKEN_LIFETIME_S leaves enough time to spend them before they expire.
QUOTA_PREFETCH_S: Final = 0.5
# Fraction of the burst that all daemons together hold unspent when the demand
# equals the rate; they hold at most as much spent but not reported.
QUOTA_BURST_FRACTION: Final = 0.25
# Fraction of its share that an owner reserves for calls that already wait.
QUOTA_RESERVE_FRACTION: Final = 0.3
# Burst below which uneven bucket levels at the owners would refuse calls. A
# waiting call then requests a part of its token from each owner, and spent
# tokens are reported at once.
QUOTA_MIN_SINGLE_OWNER_BURST: Final = 15.0
# Smallest burst with prefetching; with a smaller one, prefetched tokens would
# be missing at other daemons.
QUOTA_MIN_PREFETCH_BURST: Final = 6.0
# Time after which an owner that does not reply gets only probes.
QUOTA_ANSWER_TIMEOUT_S: Final = 0.05
QUOTA_PROBE_INTERVAL_S: Final = 0.1
# Time without a reply after which the other owners are asked as well. It is
# twice the longest round trip between failure domains.
QUOTA_HEDGE_DELAY_S: Final = 0.015
# Time after which tokens reserved for a daemon that sends no new request are
# free. A call waits for QUOTA_WAIT_S and its daemon acts every QUOTA_TICK_S,
# so the daemon would have sent a request by then.
QUOTA_RESERVATION_S: Final = 0.075
# Time for which sequence numbers of requests are stored to detect duplicates;
# an older duplicate refers to expired grants only.
QUOTA_SEQUENCE_RETENTION_S: Final = 60.0
# Tolerance for rounding errors when fractions of a token from three partitions
# add up to one.
QUOTA_ROUNDING_TOLERANCE: Final = 1e-9

# Idempotency keys and the stored results of their requests.
IDEMPOTENCY_KEY_LIFETIME_S: Final = 600.0
OPAQUE_KEY_LIFETIME_S: Final = 24 * 3600.0
CLOCK_SKEW_S: Final = 2.0
# Time for which a call waits while its partition is handed over.
OWNER_WAIT_S: Final = 3.0
OWNER_RETRY_INTERVAL_S: Final = 0.05
MAX_IDEMPOTENCY_KEY_BYTES: Final = 128
IDEMPOTENCY_RESULT_LIFETIME_S: Final = 600.0
MAX_IDEMPOTENCY_ENTRIES: Final = 50_000
MAX_IDEMPOTENCY_BYTES: Final = 32 * 1024 * 1024
# Memory of one entry of the table in addition to key and result.
IDEMPOTENCY_ENTRY_BYTES: Final = 400
MAX_IDEMPOTENCY_WAITERS: Final = 64
HAND_OVER_PART_BYTES: Final = 256 * 1024

# Deadlines and sizes of calls.
DEFAULT_TIMEOUT_S: Final = 10.0
MAX_TIMEOUT_S: Final = 60.0
MAX_CALL_DEPTH: Final = 16
HEADER_TIMEOUT_S: Final = 10.0
BODY_TIMEOUT_S: Final = 10.0
CALLER_KEEP_ALIVE_S: Final = 75
MAX_BODY_BYTES: Final = 1024 * 1024
MAX_MESSAGE_BYTES: Final = 4 * 1024 * 1024
MAX_HEADER_BYTES: Final = 16 * 1024
CALL_ID_RETENTION_S: Final = 60.0
DEFAULT_RETRY_ALLOWANCE: Final = 2
RETRY_BUDGET_RATIO: Final = 0.1

# Connections between peers, gossip and membership.
HEARTBEAT_INTERVAL_S: Final = 1.0
PEER_TIMEOUT_S: Final = 3.0
PEER_CONNECT_TIMEOUT_S: Final = 0.5
# Time for a serving daemon to reply to a query for the state of a call.
CANCEL_QUERY_TIMEOUT_S: Final = 0.5
# Idle time after which a connection gets no more heartbeats.
HEARTBEAT_IDLE_S: Final = 10.0
GOSSIP_IDLE_TIMEOUT_S: Final = 5.0
PEER_IDLE_TIMEOUT_S: Final = 60.0
GOSSIP_INTERVAL_S: Final = 1.0
GOSSIP_FANOUT: Final = 3
# Exchanges of differing member entries that a daemon starts per second. Bounds
# the traffic while many members change; see docs/decisions/membership.md.
GOSSIP_EXCHANGES_PER_S: Final = 1
# Number of buckets of the member table, each of which has its own hash.
GOSSIP_BUCKET_COUNT: Final = 128
# Buckets per exchange when fewer than half of all buckets differ. Otherwise
# the peer is a new member and gets the whole table at once.
GOSSIP_BUCKETS_PER_EXCHANGE: Final = 5
# Number of members per digest whose last sign of life is reported.
GOSSIP_HEARTBEAT_MEMBERS: Final = 16
# Age of the last log read above which digests go to every failure domain, to
# distinguish an outage of the log from a network partition. It is below
# MAX_AUTHORIZATION_AGE_S by one gossip interval.
GOSSIP_PROBE_LOG_AGE_S: Final = 2.0
# A longer gap between two ticks means that this daemon was suspended.
GOSSIP_MAX_TICK_GAP_S: Final = 5.0
MEMBER_RETENTION_S: Final = 600.0

# Authorization by key. Keys are refused if for this time there was neither a
# log read nor contact with a majority of the failure domains.
MAX_AUTHORIZATION_AGE_S: Final = 3.0

# Requests that crash upstreams.
# Calls that failed at most this long before a crash was detected are in the
# set of its suspects.
CRASH_WINDOW_S: Final = 5.0
QUARANTINE_DURATION_S: Final = 3600.0
# Longer than a quarantine, so that the first request after it runs alone.
SUSPECT_LIFETIME_S: Final = 2 * 3600.0
# A crash adds at most one entry per slot, so the last few crashes fit.
MAX_SUSPECTS: Final = 1024
MAX_QUARANTINED: Final = 1024

# Routing of calls to upstreams.
# Time for which a hint is used, which bounds the effect of a wrong one.
HINT_LIFETIME_S: Final = 1.0
PROBE_FRACTION: Final = 0.02
COLD_START_FRACTION: Final = 0.1
# Load of the own failure domain relative to its limits. Above the first ratio
# the share of calls sent to other domains rises, below the second it falls,
# and between them it stays.
DOMAIN_HIGH_LOAD_RATIO: Final = 0.8
DOMAIN_LOW_LOAD_RATIO: Final = 0.6
REMOTE_FRACTION_INTERVAL_S: Final = 0.1
REMOTE_FRACTION_INCREASE: Final = 0.25
REMOTE_FRACTION_DECREASE: Final = 0.05
# Smallest difference in load at which a call leaves the own failure domain.
REMOTE_LOAD_MARGIN: Final = 0.1
# Penalty on the load of an upstream in another region, as a fraction of its
# limit.
OTHER_REGION_PENALTY: Final = 0.5
AVOID_BASE_S: Final = 0.1
AVOID_MAX_S: Final = 3.0
ROUTING_PURGE_S: Final = 10.0

# Retry delays and budgets.
RETRY_DELAY_BASE_S: Final = 0.02
RETRY_DELAY_MAX_S: Final = 1.0
# Smallest time to the deadline with which a retry is sent; with less time left
# it cannot finish.
RETRY_MIN_REMAINING_S: Final = 0.01
# Retries that a service with little traffic may use beyond the budget ratio.
RETRY_BUDGET_RESERVE: Final = 10.0
RETRY_BUDGET_IDLE_S: Final = 600.0

# Concurrency limit per callee service.
CALLEE_WINDOW_S: Final = 0.25
# Ratio of the service time to the usual one from which a callee is slow.
CALLEE_SLOW_RATIO: Final = 3.0
# Calls that are always allowed to a slow callee, so that its service time can
# be measured.
CALLEE_MIN_LIMIT: Final = 8
# Smallest number of calls for an estimate of the usual service time.
CALLEE_MIN_SAMPLES: Final = 20
CALLEE_BASELINE_GAIN: Final = 0.1
# Limit of each importance class, from low to critical, relative to that of low
# calls. With one limit for all classes and a load of twice the capacity, less
# important calls used up the limit and a tenth of the critical calls was
# refused.
CALLEE_IMPORTANCE_FACTORS: Final = (1.0, 1.25, 1.75, 2.25)
# Growth rate of the usual service time. A service time that doubles for good
# counts as usual after about 4 minutes (ln 2 / 0.003).
CALLEE_BASELINE_DRIFT_PER_S: Final = 0.003

# Tokens by which an upstream identifies the call that it serves.
CALL_TOKEN_BITS: Final = 256
# Several times the largest number of slots, because calls may end late.
MAX_CALL_TOKENS: Final = 4096

# Reads of the log and appends to it.
# The age of the last read varies between one and two waits and must stay below
# MAX_AUTHORIZATION_AGE_S.
LOG_POLL_WAIT_S: Final = 1.0
LOG_TIMEOUT_S: Final = 3.0
LOG_RETRY_S: Final = 0.5
PUBLISH_TIMEOUT_S: Final = 15.0
SNAPSHOT_INTERVAL_S: Final = 3600.0
RECORDS_PER_SNAPSHOT: Final = 500
LOG_BATCH_RECORDS: Final = 500

# Bounds of the state that is computed from the log. All daemons need the same
# values; with others they would disagree about repeated publications. At 740
# changes a day, the results of almost three days are stored.
MAX_PUBLICATION_RESULTS: Final = 2048
MAX_PUBLICATION_ID_CHARACTERS: Final = 128
MAX_PUBLICATION_DETAIL_CHARACTERS: Final = 1000
MAX_LOGGED_MEMBERS: Final = 2048
MAX_QUARANTINES: Final = 1024
# Bounds of the buffer of log entries for peers, which may differ by daemon.
MAX_RECENT_ENTRIES: Final = 1024
MAX_RECENT_ENTRY_BYTES: Final = 1024 * 1024

# Admission control and the queue of the serving daemon.
ADMISSION_TICK_S: Final = 0.01
IDLE_TICK_S: Final = 0.1
# Target of the waiting time while a queue persists. It is at least the time of
# QUEUE_TARGET_STARTS call starts, so that a slow upstream always has a next
# call in the queue.
QUEUE_WAIT_TARGET_S: Final = 0.02
QUEUE_TARGET_STARTS: Final = 16
# Waiting time allowed to a burst, that is, to a queue that was empty at most
# this long ago.
QUEUE_BURST_WAIT_S: Final = 0.2
QUEUE_MIN_ENTRIES: Final = 32
QUEUE_ENTRIES_PER_SLOT: Final = 4
# Suspects of a crash run alone. Other calls wait at most ALONE_MAX_PAUSE_S
# while the calls in flight end, and then at most ALONE_MAX_RUN_S while the
# suspect runs. This pause begins only after a suspect has waited
# ALONE_MIN_WAIT_S. If no other call has arrived for that long and none runs,
# suspects run one directly after the other.
ALONE_MAX_PAUSE_S: Final = 1.0
ALONE_MAX_RUN_S: Final = 5.0
ALONE_MIN_WAIT_S: Final = 0.2
ALONE_MAX_QUEUED: Final = 8

# Connections to upstreams.
UPSTREAM_CONNECT_TIMEOUT_S: Final = 1.0
UPSTREAM_IDLE_TIMEOUT_S: Final = 5.0
# Time for which connections carry one call each after an answer without the
# token that earlier ones on its connection had.
UPSTREAM_REUSE_PAUSE_S: Final = 60.0
# Longest cold phase of an upstream after its start.
COLD_START_TIMEOUT_S: Final = 10.0

# Graceful stop.
# Time between the leave of a daemon and its first refusals, in which peers
# stop sending calls to it.
LEAVE_NOTICE_PERIOD_S: Final = 1.5
DRAIN_TIMEOUT_S: Final = 30.0
# Longest time for which a stop waits until the HTTP servers have closed.
SERVER_STOP_S: Final = 1.0

# Names of header fields, in lower case as in ASGI.
HEADER_RUN: Final = 'sassafraswood-run'
HEADER_CALL_TOKEN: Final = 'call-token'
# Sent by an upstream that sheds a call, with the token of the call.
HEADER_NOT_RUN: Final = 'call-not-run'
HEADER_TIMEOUT_MS: Final = 'request-timeout-ms'
HEADER_IDEMPOTENCY_KEY: Final = 'idempotency-key'
