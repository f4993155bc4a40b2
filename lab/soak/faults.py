"""Faults that a soak injects, chosen at random from its seed."""

import dataclasses
import enum
import random
from typing import Final

# No fault starts within the first SETTLE_S of the traffic, so that the fleet
# has converged, or within the last QUIET_S, so that all faults end and it
# recovers before the final check. In seconds.
SETTLE_S: Final = 3.0
QUIET_S: Final = 7.0


class FaultKind(enum.Enum):
    """Kinds of injected faults."""

    KILL = 'kill'
    KILL_ALL = 'kill_all'
    RESTART = 'restart'
    PAUSE = 'pause'
    RELOAD = 'reload'
    PEER_LINK = 'peer_link'
    STORE_LINK = 'store_link'
    UPSTREAM_LINK = 'upstream_link'
    STORE_DOWN = 'store_down'
    STORE_BUSY = 'store_busy'
    STORE_SLOW = 'store_slow'
    STORE_LOSES_ANSWERS = 'store_loses_answers'
    STORE_FORGETS = 'store_forgets'
    UPSTREAM_CRASH = 'upstream_crash'
    UPSTREAM_REPLACED = 'upstream_replaced'
    UPSTREAM_SLOW = 'upstream_slow'
    UPSTREAM_SPOILS = 'upstream_spoils'
    UPSTREAM_SILENT = 'upstream_silent'
    MOVE = 'move'
    WITHDRAW = 'withdraw'
    BURST = 'burst'
    # A request that crashes each upstream that runs it is sent repeatedly.
    POISON = 'poison'
    EVACUATE = 'evacuate'
    UPSTREAM_COLD = 'upstream_cold'
    # Clients send bodies that stop just short of their end.
    CROWD = 'crowd'
    # Responses of an upstream never end.
    UPSTREAM_FLOODS = 'upstream_floods'
    # Upstreams of a service refuse requests and send copies of the refusals.
    UPSTREAM_REFUSES = 'upstream_refuses'
    # An upstream sends copies of its other responses.
    UPSTREAM_REPEATS = 'upstream_repeats'


# Kinds that were added after seeds had found faults; each group is drawn
# apart, so that these seeds keep their other faults.
_LATER_KINDS: Final = {
    'later': (
        FaultKind.EVACUATE,
        FaultKind.UPSTREAM_COLD,
        FaultKind.CROWD,
        FaultKind.UPSTREAM_FLOODS,
    ),
    'copies': (FaultKind.UPSTREAM_REFUSES, FaultKind.UPSTREAM_REPEATS),
}
# Number of faults of the first kinds for each one of a later group.
_LATER_KIND_INTERVAL: Final = 4


# Relative frequency of each kind, 1 if absent. Planned operations and changes
# by the operator are more frequent than most failures.
_WEIGHTS: Final = {
    FaultKind.KILL_ALL: 0.3,
    FaultKind.MOVE: 3.0,
    FaultKind.WITHDRAW: 1.5,
    FaultKind.RESTART: 2.0,
    FaultKind.UPSTREAM_REPLACED: 2.0,
    FaultKind.PEER_LINK: 2.0,
    FaultKind.UPSTREAM_REFUSES: 3.0,
}


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class Fault:
    """One scheduled fault.

    Attributes:
        at_s: Start in seconds after the start of traffic.
        for_s: How long it lasts, in seconds.
        machine: Index of the VM that it affects.
        variant: Random number that selects a variant of the fault.
    """

    at_s: float
    for_s: float
    kind: FaultKind = dataclasses.field(compare=False)
    machine: int
    variant: int


def draw_faults(
    seed: int,
    *,
    length_s: float,
    machines: int,
    has_later_kinds: bool = True,
) -> list[Fault]:
    """Return the faults of a seed, ordered by start time.

    Args:
        seed: Seed of the random number generator.
        length_s: Length of the traffic in seconds.
        machines: Number of VMs.
        has_later_kinds: Whether faults of the later kinds are added.
    """
    last_s = length_s - QUIET_S
    # One fault per second on six VMs, so that several faults overlap.
    count = max(3, int((last_s - SETTLE_S) * machines / 6))
    later_kinds = {kind for kinds in _LATER_KINDS.values() for kind in kinds}
    faults = _draw_kinds(
        random.Random(seed),
        [kind for kind in FaultKind if kind not in later_kinds],
        count=count,
        last_s=last_s,
        machines=machines,
    )
    if has_later_kinds:
        for name, kinds in _LATER_KINDS.items():
            faults += _draw_kinds(
                random.Random(f'{name} {seed}'),
                list(kinds),
                count=max(1, count // _LATER_KIND_INTERVAL),
                last_s=last_s,
                machines=machines,
            )
    return sorted(faults)


def _draw_kinds(
    random_source: random.Random,
    kinds: list[FaultKind],
    *,
    count: int,
    last_s: float,
    machines: int,
) -> list[Fault]:
    """Return a number of faults that start between SETTLE_S and last_s."""
    weights = [_WEIGHTS.get(kind, 1.0) for kind in kinds]
    return [
        Fault(
            at_s=random_source.uniform(SETTLE_S, last_s),
            for_s=random_source.uniform(0.5, 4.0),
            kind=random_source.choices(kinds, weights)[0],
            machine=random_source.randrange(machines),
            variant=random_source.randrange(1 << 16),
        )
        for _ in range(count)
    ]
