"""Faults of a soak, drawn from its seed."""

import dataclasses
import enum
import random
from typing import Final

# Faults begin after the fleet has settled, and end before the last checks.
SETTLE_S: Final = 3.0
QUIET_S: Final = 7.0


class FaultKind(enum.Enum):
    """What can go wrong."""

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
    # A request that crashes each upstream that runs it comes again and again.
    POISON = 'poison'


# How often each kind is drawn; operators and planned work are frequent.
_WEIGHTS: Final = {
    FaultKind.KILL_ALL: 0.3,
    FaultKind.MOVE: 3.0,
    FaultKind.WITHDRAW: 1.5,
    FaultKind.RESTART: 2.0,
    FaultKind.UPSTREAM_REPLACED: 2.0,
    FaultKind.PEER_LINK: 2.0,
}


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class Fault:
    """A fault at a time.

    Attributes:
        at_s: Seconds from the start of traffic.
        for_s: How long it lasts, in seconds.
        machine: Number of the VM that it strikes.
        variant: Number that chooses among ways.
    """

    at_s: float
    for_s: float
    kind: FaultKind = dataclasses.field(compare=False)
    machine: int
    variant: int


def draw(seed: int, *, length_s: float, machines: int) -> list[Fault]:
    """Return the faults of a seed in the order of time.

    Args:
        seed: Of the random numbers.
        length_s: Length of the traffic in seconds.
        machines: Number of VMs.
    """
    source = random.Random(seed)
    kinds = list(FaultKind)
    weights = [_WEIGHTS.get(kind, 1.0) for kind in kinds]
    last_s = length_s - QUIET_S
    # One fault in a second on six VMs, so that several overlap.
    count = max(3, int((last_s - SETTLE_S) * machines / 6))
    return sorted(
        Fault(
            at_s=source.uniform(SETTLE_S, last_s),
            for_s=source.uniform(0.5, 4.0),
            kind=source.choices(kinds, weights)[0],
            machine=source.randrange(machines),
            variant=source.randrange(1 << 16),
        )
        for _ in range(count)
    )
