"""Tests of the side of a daemon that runs calls at its upstream."""

from sassafraswood import clock
from sassafraswood.coordination import call_depth
from sassafraswood.coordination import call_tree
from sassafraswood.coordination import crash_counts
from sassafraswood.coordination import deep_load
from sassafraswood.coordination import upstream_gate
from sassafraswood.coordination import upstream_health
from sassafraswood.coordination import upstream_registry
from sassafraswood.models import enums
from sassafraswood.models import fields
from sassafraswood.models import fleet
from sassafraswood.models import ids
from sassafraswood.protocol import frames
from sassafraswood.sidecar import upstream_side
from sassafraswood.transport import exchange
from sassafraswood.transport import json_log

SERVICE = ids.ServiceName('ordering')
ADDRESS = ('10.0.0.1', 9000)
NAMES = fields.FieldNames(
    attempt_id=b'attempt',
    deadline_ms=b'time-left',
    seal=b'seal',
    workspace=b'workspace',
    expected_instance=b'instance',
    not_run=b'not-run',
    caller_service=b'caller',
    instance_id=b'instance-id',
    key=b'authorization',
    key_scheme=b'token ',
)


class FakePool:
    """Keeps requests until the test ends them."""

    def __init__(self) -> None:
        """Start without requests."""
        self.requests = []

    def start(self, payload, request_id, on_done, *, may_repeat):
        """Keep a request."""
        self.requests.append((payload, request_id, on_done))
        return exchange.Exchange()

    def close_idle(self) -> None:
        """Do nothing."""


class Side:
    """An upstream side with a fake upstream."""

    def __init__(self, tmp_path) -> None:
        """Wire it up with an upstream that takes calls."""
        self.clock = clock.ManualClock()
        self.pool = FakePool()
        self.replies = []
        self.crashed = []
        self.crashes = crash_counts.CrashCounts(self.clock)
        self.registry = upstream_registry.UpstreamRegistry(
            clock=self.clock,
            service=SERVICE,
            address=ADDRESS,
            silence_s=5.0,
            knows_leaves=True,
        )
        below = deep_load.DeepLoad()
        self.depth = call_depth.CallDepth()
        self.log_file = open(tmp_path / 'log', 'wb')
        self.side = upstream_side.UpstreamSide(
            clock=self.clock,
            gate=upstream_gate.UpstreamGate(self.clock, below),
            below=below,
            depth=self.depth,
            health=upstream_health.UpstreamHealth(self.clock),
            registry=self.registry,
            pool=self.pool,
            names=NAMES,
            service=SERVICE,
            log=json_log.JsonLog('d1', self.log_file.fileno()),
            crashes=self.crashes,
            on_serving=lambda is_serving: None,
            on_crash=lambda instance, found: self.crashed.append(
                (instance, found)
            ),
        )
        self.report()

    def report(self, sequence: int = 1, **changes) -> None:
        """Report the upstream."""
        values = {
            'instance_id': 'i1',
            'service': SERVICE,
            'address': ADDRESS,
            'born': 1,
            'sequence': sequence,
            'slots': 20,
            'status': enums.UpstreamStatus.READY,
            'cold_left_s': 0.0,
        }
        self.registry.apply(fleet.UpstreamReport(**(values | changes)))
        self.side.refresh()

    def submit(self, **changes):
        """Submit a call."""
        values = {
            'call_id': 1,
            'service': SERVICE,
            'head': b'POST /a/ HTTP/1.1\r\n',
            'body': b'{}',
            'attempt_id': b'abc',
            'time_left_s': 2.0,
            'target_s': 1.0,
            'urgency': 1.0,
            'workspace': 'blue-reef',
            'route': 'a',
            'is_idempotent': False,
            'is_inner': False,
        }
        return self.side.submit(
            frames.Run(**(values | changes)), self.replies.append
        )

    def answer(self, index: int = 0, status: int = 200, **noted) -> None:
        """Let the upstream answer."""
        values = {b'attempt': b'abc', b'seal': b's'} | {
            name.encode().replace(b'_', b'-'): value
            for name, value in noted.items()
        }
        self.pool.requests[index][2](
            exchange.Response(
                status=status, head=b'', fields=values, body=b'x'
            )
        )


def test_whole_answer_is_passed_on(tmp_path) -> None:
    """The daemon adds the deadline and the upstream that is meant."""
    side = Side(tmp_path)
    side.submit()
    payload = side.pool.requests[0][0]
    assert b'time-left: 2000\r\n' in payload
    assert b'instance: i1\r\n' in payload
    side.answer()
    assert isinstance(side.replies[0], frames.Answer)


def test_call_of_another_service_is_refused(tmp_path) -> None:
    """An address that passed to another service runs none of its calls."""
    side = Side(tmp_path)
    side.submit(service='donations')
    assert not side.pool.requests
    refusal = side.replies[0]
    assert isinstance(refusal, frames.Refused)
    assert refusal.reason == enums.RefusalReason.UNKNOWN_SERVICE.value
    assert refusal.is_local


def test_draining_upstream_gets_no_new_call(tmp_path) -> None:
    """What runs goes on; what comes is refused as not run."""
    side = Side(tmp_path)
    side.submit()
    side.report(sequence=2, status=enums.UpstreamStatus.DRAINING)
    side.submit(call_id=2)
    assert len(side.pool.requests) == 1
    assert isinstance(side.replies[0], frames.Refused)
    side.answer()
    assert isinstance(side.replies[1], frames.Answer)


def test_answer_without_seal_is_not_passed_on(tmp_path) -> None:
    """Bytes of another origin must not look like an answer."""
    side = Side(tmp_path)
    side.submit()
    side.pool.requests[0][2](
        exchange.Response(
            status=200, head=b'', fields={b'attempt': b'abc'}, body=b'x'
        )
    )
    assert isinstance(side.replies[0], frames.Failed)


def test_refusal_of_the_upstream_is_not_run(tmp_path) -> None:
    """The field of the upstream proves that it did not run the call."""
    side = Side(tmp_path)
    side.submit()
    side.answer(status=503, not_run=b'1')
    assert isinstance(side.replies[0], frames.Refused)


def test_other_instance_at_the_address_ends_the_service(tmp_path) -> None:
    """A status of 421 shows that the upstream was replaced."""
    side = Side(tmp_path)
    side.submit()
    side.answer(status=421)
    assert isinstance(side.replies[0], frames.Refused)
    assert not side.side.is_serving


def test_cancelled_idempotent_call_is_broken_off(tmp_path) -> None:
    """Its slot is free at once, and a late answer goes nowhere."""
    side = Side(tmp_path)
    call = side.submit(is_idempotent=True)
    side.side.cancel(call)
    assert not side.side.running
    side.answer()
    assert side.replies == []


def test_cancelled_unrepeatable_call_goes_on(tmp_path) -> None:
    """It runs to its end, but its answer is not awaited."""
    side = Side(tmp_path)
    call = side.submit()
    side.side.cancel(call)
    assert len(side.side.running) == 1


def test_crash_names_the_calls_that_were_in_flight(tmp_path) -> None:
    """Nobody listens any more just after their connections broke."""
    side = Side(tmp_path)
    side.submit()
    side.submit(call_id=2, head=b'POST /b/ HTTP/1.1\r\n')
    for index in range(2):
        side.pool.requests[index][2](exchange.FailureKind.BROKEN)
    assert not side.crashed
    side.submit(call_id=3, head=b'POST /c/ HTTP/1.1\r\n')
    side.pool.requests[2][2](exchange.FailureKind.REFUSED)
    ((instance, fingerprints),) = side.crashed
    assert instance == 'i1'
    assert len(set(fingerprints)) == 2
    assert not side.side.is_serving
    side.report(sequence=2)
    assert side.side.is_serving


def test_broken_connection_alone_is_no_crash(tmp_path) -> None:
    """The upstream goes on."""
    side = Side(tmp_path)
    side.submit()
    side.pool.requests[0][2](exchange.FailureKind.BROKEN)
    side.submit(call_id=2)
    side.answer(1)
    assert not side.crashed
    assert side.side.is_serving


def test_request_that_crashed_upstreams_is_not_started(tmp_path) -> None:
    """The last daemon before an upstream refuses it too."""
    side = Side(tmp_path)
    call = side.submit()
    side.crashes.refuse([upstream_side.fingerprint_of(call.run)])
    side.submit(call_id=2)
    assert len(side.pool.requests) == 1
    assert side.replies[0].reason == enums.RefusalReason.QUARANTINED.value
    assert not side.replies[0].is_local


def test_requests_that_succeeded_are_not_suspected(tmp_path) -> None:
    """Many callers send the same ones, so they are in flight at any crash."""
    side = Side(tmp_path)
    side.submit()
    side.answer()
    side.submit(call_id=2)
    side.submit(call_id=3, head=b'POST /b/ HTTP/1.1\r\n')
    for index in (1, 2):
        side.pool.requests[index][2](exchange.FailureKind.BROKEN)
    side.submit(call_id=4)
    side.pool.requests[3][2](exchange.FailureKind.REFUSED)
    ((_, fingerprints),) = side.crashed
    assert len(fingerprints) == 1


def test_answer_tells_the_levels_of_calls_below(tmp_path) -> None:
    """A route that makes no calls has none, whatever other routes do."""
    side = Side(tmp_path)
    depths = []
    for index in range(call_tree.KNOWN_RUNS + 1):
        side.submit(call_id=index)
        side.answer(index)
        depths.append(side.replies[-1].depth)
        side.depth.note(1, side.clock.monotonic())
    # Until enough runs have ended, it may make calls.
    assert depths[0] is None
    assert depths[1] == 2
    assert depths[-1] == 0
