"""Steps about idempotency keys, partition owners and hand-over."""

import dataclasses

import pytest
import pytest_bdd
from pytest_bdd import parsers

from sassafraswood import const
from sassafraswood.coordination import idempotency
from sassafraswood.models import call
from sassafraswood.models import enums
from sassafraswood.models import ids
from tests.coordination import lease_model
from tests.coordination import test_idempotency

_Action = idempotency.IdempotencyAction
# The time from the loss of an owner to the start of the next term.
_TAKEOVER_S = 17.0


@dataclasses.dataclass
class Request:
    """A non-idempotent request that its caller retries.

    Attributes:
        owner: The daemon that owns the partition of its key.
        key: The idempotency key.
        runs: The number of its runs.
        last_verdict: The verdict on the last attempt.
        paused: A paused daemon that was the owner before.
    """

    owner: test_idempotency.Bench
    key: str = ''
    runs: int = 0
    last_verdict: idempotency.IdempotencyVerdict | None = None
    paused: test_idempotency.Bench | None = None

    def send(self, workspace: str = 'w') -> None:
        """Send the request to the owner and count a run that it allows."""
        self.last_verdict = self.owner.begin(
            self.key, workspace=ids.Workspace(workspace)
        )
        self.runs += self.last_verdict.action is _Action.RUN


@pytest_bdd.given(
    'an owner of the idempotency keys', target_fixture='request_with_key'
)
def start_owner() -> Request:
    """Start an owner in the first term."""
    return Request(test_idempotency.Bench())


@pytest_bdd.when('a caller sends a new request')
def send_new(request_with_key: Request) -> None:
    """Mint a key and send a request with it."""
    request_with_key.key = request_with_key.owner.now_key()
    request_with_key.send()


@pytest_bdd.when('a caller mints a key')
def mint_key(request_with_key: Request) -> None:
    """Mint a key without sending a request."""
    request_with_key.key = request_with_key.owner.now_key()


@pytest_bdd.when('the caller sends it again')
def send_again(request_with_key: Request) -> None:
    """Retry the request with the same key."""
    request_with_key.send()


@pytest_bdd.when('another workspace sends a request with the same key')
def send_other_workspace(request_with_key: Request) -> None:
    """Send the key for another workspace, without counting its run."""
    runs = request_with_key.runs
    request_with_key.send('other')
    request_with_key.runs = runs


@pytest_bdd.when('the run ends with an answer')
def finish(request_with_key: Request) -> None:
    """End the run with an answer."""
    request_with_key.owner.finish(request_with_key.key)


@pytest_bdd.when('the run ends with a refusal as not run')
def finish_not_run(request_with_key: Request) -> None:
    """End the run with a refusal, and do not count it as a run."""
    request_with_key.runs -= 1
    request_with_key.owner.finish(
        request_with_key.key,
        test_idempotency.refusal(enums.Outcome.NOT_RUN),
    )


@pytest_bdd.when('the run ends with an unknown outcome')
def finish_unknown(request_with_key: Request) -> None:
    """End the run without knowing whether it took effect."""
    request_with_key.owner.finish(
        request_with_key.key,
        test_idempotency.refusal(enums.Outcome.UNKNOWN),
    )


@pytest_bdd.when('the owner is killed and its guardian takes over')
def take_over(request_with_key: Request) -> None:
    """Start the next term without the state of the former owner."""
    former = request_with_key.owner
    successor = test_idempotency.Bench(term=former.entry.term + 1)
    successor.clock.advance(
        former.clock.wall() - successor.clock.wall() + _TAKEOVER_S
    )
    successor.start_unix_s = successor.clock.wall()
    request_with_key.owner = successor


@pytest_bdd.when('the owner is paused and its guardian takes over')
def take_over_paused(request_with_key: Request) -> None:
    """Start the next term while the former owner is paused."""
    request_with_key.paused = request_with_key.owner
    take_over(request_with_key)


@pytest_bdd.when('the paused owner resumes and gets the request once more')
def resume_former_owner(request_with_key: Request) -> None:
    """Send the request to the former owner, whose lease has expired."""
    paused = request_with_key.paused
    assert paused is not None
    paused.clock.advance(_TAKEOVER_S)
    paused.is_held = False
    successor = request_with_key.owner
    request_with_key.owner = paused
    request_with_key.send()
    request_with_key.owner = successor


@pytest_bdd.when('the owner stops as planned and hands over')
def hand_over(request_with_key: Request) -> None:
    """Hand over with state; the transfer in the log confirms it."""
    request_with_key.owner = request_with_key.owner.hand_over()


@pytest_bdd.when('the owner stops as planned and its state is lost')
def hand_over_without_state(request_with_key: Request) -> None:
    """Hand over with a transfer in the log that is marked as stateless."""
    former = request_with_key.owner
    request_with_key.owner = former.hand_over(with_state=False)


@pytest_bdd.when('a few seconds pass')
def wait_beyond_skew(request_with_key: Request) -> None:
    """Wait for more than twice the clock skew after the start of a term."""
    request_with_key.owner.clock.advance(2 * const.CLOCK_SKEW_S + 0.5)


@pytest_bdd.then(parsers.parse('the request is run {count:d} times'))
def check_runs(request_with_key: Request, count: int) -> None:
    """Check the number of runs, without those that ended as not run."""
    assert request_with_key.runs == count


@pytest_bdd.then("the caller's last attempt is run")
def check_last_runs(request_with_key: Request) -> None:
    """Check that the owner allowed the run."""
    assert request_with_key.last_verdict is not None
    assert request_with_key.last_verdict.action is _Action.RUN


@pytest_bdd.then("the caller's last attempt waits for the run")
def check_waits(request_with_key: Request) -> None:
    """Check that a retry during the run waits for its end."""
    assert request_with_key.last_verdict is not None
    assert request_with_key.last_verdict.action is _Action.WAIT


@pytest_bdd.then('the caller gets the whole answer of the first run')
def check_answer(request_with_key: Request) -> None:
    """Check that status, headers and body equal those of the first run."""
    assert request_with_key.last_verdict is not None
    result = request_with_key.last_verdict.result
    if request_with_key.last_verdict.action is _Action.WAIT:
        (result,) = request_with_key.owner.done
    assert result == test_idempotency.ANSWER


@pytest_bdd.then('the caller is told that the outcome is unknown')
def check_unknown(request_with_key: Request) -> None:
    """Check the refusal of a key that may have been run."""
    assert request_with_key.last_verdict is not None
    test_idempotency.expect_unknown(request_with_key.last_verdict)


@pytest_bdd.then('the caller is told that the request was not run there')
def check_refused_not_run(request_with_key: Request) -> None:
    """Check the refusal by a daemon that no longer owns the partition."""
    assert request_with_key.last_verdict is not None
    result = request_with_key.last_verdict.result
    assert isinstance(result, call.Refusal)
    assert result.outcome is enums.Outcome.NOT_RUN


@pytest_bdd.given(
    parsers.parse('daemons, a log and a network with seed {seed:d}'),
    target_fixture='world',
)
def start_world(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> lease_model.World:
    """Start daemons that share 3 partitions.

    The longest lease without the log, 4 h, is shortened to 40 s.
    """
    monkeypatch.setattr(const, 'MAX_LEASE_WITHOUT_LOG_S', 40.0)
    world = lease_model.World(seed)
    world.run(40.0)
    return world


@pytest_bdd.given('callers that retry hard', target_fixture='callers')
def add_callers(world: lease_model.World) -> test_idempotency.Callers:
    """Add callers that send requests with keys and retry them."""
    return test_idempotency.Callers(world)


@pytest_bdd.given('faults of every kind at random')
def add_faults(world: lease_model.World) -> None:
    """Inject random faults."""
    world.fault_rate = 0.1


@pytest_bdd.when(parsers.parse('the log is down for {seconds:d} seconds'))
def log_down(world: lease_model.World, seconds: int) -> None:
    """Stop the log; a later step lets the time pass."""
    world.log_down_until = world.now + seconds


@pytest_bdd.when(
    parsers.parse('the owner of partition 0 is paused for {seconds:d} seconds')
)
def pause_owner(world: lease_model.World, seconds: int) -> None:
    """Pause the daemon that holds the lease of partition 0."""
    (owner,) = world.holders(0)
    world.pause(owner, seconds)


@pytest_bdd.when('the owner of partition 0 crashes')
def crash_owner(world: lease_model.World) -> None:
    """Crash the daemon that holds the lease of partition 0."""
    (owner,) = world.holders(0)
    world.crash(owner)


@pytest_bdd.when('the owner of partition 0 stops as planned')
def stop_owner(world: lease_model.World) -> None:
    """Release all leases of the owner, which exits 20 s later."""
    (owner,) = world.holders(0)
    owner.leases.release_all()
    owner.stops_at = world.now + 20.0


@pytest_bdd.when('the link of the owner of partition 0 to its guardian is cut')
def cut_guardian_link(world: lease_model.World) -> None:
    """Cut the link between owner and guardian for 8 s."""
    entry = world.reference.get(lease_model.SERVICE, 0)
    assert entry is not None and entry.guardian is not None
    link = frozenset({entry.owner.daemon_id, entry.guardian.daemon_id})
    world.links_cut_until[link] = world.now + 8.0


@pytest_bdd.when(parsers.parse('{seconds:d} seconds pass'))
def pass_time(world: lease_model.World, seconds: int) -> None:
    """Run the model for a time."""
    world.run(seconds)


@pytest_bdd.then('no partition ever had two owners')
def check_overlaps(world: lease_model.World) -> None:
    """Check that no two daemons held the same partition at any time."""
    assert world.overlaps == []


@pytest_bdd.then('every partition has an owner')
def check_owned(world: lease_model.World) -> None:
    """Check that each partition has exactly one holder."""
    for partition in range(const.PARTITIONS_PER_SERVICE):
        assert len(world.holders(partition)) == 1, partition


@pytest_bdd.then('partition 0 has no owner')
def check_unowned(world: lease_model.World) -> None:
    """Check that no daemon can take the partition over in the outage."""
    assert world.holders(0) == []


@pytest_bdd.then('the partition was handed over without a claim')
def check_transfer(world: lease_model.World) -> None:
    """Check that the log accepted a transfer and no guardian claim."""
    print(dict(world.accepted))
    assert world.accepted['TransferPartition'] > 0
    assert world.accepted['guardian claim'] == 0


@pytest_bdd.then('no key was run twice')
def check_keys(callers: test_idempotency.Callers) -> None:
    """Check the number of runs of each key."""
    run_count = sum(request.runs for request in callers.requests)
    print(f'{run_count} runs of {len(callers.requests)} keys')
    assert run_count > 0
    assert [keyed.key for keyed in callers.requests if keyed.runs > 1] == []
