"""Deployments and callers of the overload experiment."""

import dataclasses
import json
import random
from typing import Any, Final
import urllib.parse

import msgspec

from lab import fleet

CLASSES: Final = ('critical', 'high', 'normal', 'low')
# At twice the capacity, critical and high calls need 0.6 of it, normal
# calls 0.8 and low ones 0.6, so the fair share decides among normal calls.
CLASS_SHARES: Final = (0.1, 0.2, 0.4, 0.3)
# Two large workspaces with 0.35 of the calls each.
WORKSPACES: Final = (
    ('large-1', 0.35, 3.0),
    ('large-2', 0.35, 3.0),
    ('small-1', 0.05, 1.0),
    ('small-2', 0.05, 1.0),
    ('small-3', 0.05, 1.0),
    ('small-4', 0.05, 1.0),
    ('small-5', 0.05, 1.0),
    ('small-6', 0.05, 1.0),
)
# Calls per second of the deepest service and of the side service. With more,
# the processor time of the daemons takes a noticeable part of a slot's time.
CAPACITIES: Final = {'chain': 60.0, 'side': 100.0}
TIMEOUT_S: Final = 2.0
MAX_ATTEMPTS: Final = 5
RESEND_MAX_S: Final = 0.008
WARM_UP_S: Final = 8.0
SURGE_S: Final = 10.0
RECOVERY_S: Final = 10.0
LOW_LOAD: Final = 0.5
SURGE_LOAD: Final = 2.0
# Part of the top-level calls that must not run twice.
POST_SHARE: Final = 0.2
CALLER_PROCESSES: Final = 4
_PASS_ON_S: Final = 0.02


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServicePlan:
    """A service of a deployment.

    Attributes:
        slots: Slots of each upstream after scaling.
        service_s: Own service time in seconds, without that of children.
    """

    name: str
    upstreams: int
    slots: int
    real_slots: int
    service_s: float

    @property
    def capacity(self) -> float:
        """Return the calls per second that all upstreams can run."""
        return self.upstreams * self.slots / self.service_s


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deployment:
    """A deployment with two bottlenecks.

    Attributes:
        scale: Divisor of the slots.
        services: From the front of the chain to the bottom, then the side
            service, which is called directly only.
    """

    name: str
    description: str
    scale: int
    services: tuple[ServicePlan, ...]

    @property
    def chain(self) -> tuple[ServicePlan, ...]:
        """Return the services of the chain, the deepest one last."""
        return self.services[:-1]

    @property
    def bottom(self) -> ServicePlan:
        """Return the deepest service of the chain."""
        return self.services[-2]

    @property
    def side(self) -> ServicePlan:
        """Return the service that has no children and no parents."""
        return self.services[-1]

    def targets(self) -> dict[str, list[str]]:
        """Return the services along each kind of call, by its name."""
        names = [service.name for service in self.chain]
        return {
            'depth-1': names[2:],
            'depth-2': names[1:],
            'depth-3': names,
            'side': [self.side.name],
        }


def _deployment(
    name: str,
    description: str,
    scale: int,
    sizes: tuple[tuple[str, int, int], ...],
) -> Deployment:
    services = []
    for position, (service, upstreams, real_slots) in enumerate(sizes):
        slots = max(1, round(real_slots / scale))
        service_s = _PASS_ON_S
        if position == len(sizes) - 2:
            service_s = upstreams * slots / CAPACITIES['chain']
        elif position == len(sizes) - 1:
            service_s = upstreams * slots / CAPACITIES['side']
        services.append(
            ServicePlan(
                name=service,
                upstreams=upstreams,
                slots=slots,
                real_slots=real_slots,
                service_s=service_s,
            )
        )
    return Deployment(
        name=name,
        description=description,
        scale=scale,
        services=tuple(services),
    )


DEPLOYMENTS: Final = {
    'coastal': _deployment(
        'coastal',
        '13 upstreams: booking -> invoicing -> drying, and status',
        4,
        (
            ('booking', 3, 60),
            ('invoicing', 3, 60),
            ('drying', 3, 15),
            ('status', 4, 45),
        ),
    ),
    'workshops': _deployment(
        'workshops',
        '15 upstreams: ordering -> catalogue -> supplies, and donations',
        12,
        (
            ('ordering', 3, 265),
            ('catalogue', 5, 160),
            ('supplies', 3, 45),
            ('donations', 4, 200),
        ),
    ),
}


class CallerPlan(msgspec.Struct, kw_only=True, frozen=True):
    """What one caller process does.

    Attributes:
        start_unix_s: When the warm-up begins.
        rates: Original calls per second of this process at load 1, by
            bottleneck.
        targets: Services along each kind of call.
    """

    number: int
    seed: int
    start_unix_s: float
    rates: dict[str, float]
    addresses: list[str]
    targets: dict[str, list[str]]


class Original(msgspec.Struct, kw_only=True):
    """A call as its caller sees it, with all its attempts.

    Attributes:
        sent_s: Seconds since the start of the warm-up.
        late_start_s: How much later than planned it was sent.
        attempts: (sent_s, elapsed_s, status, reason) of each attempt.
    """

    id: str
    kind: str
    workspace: str
    importance: str
    method: str
    sent_s: float
    late_start_s: float = 0.0
    attempts: list[tuple[float, float, int, str]] = []

    @property
    def answered_s(self) -> float | None:
        """Return when the whole answer came, or None."""
        for sent_s, elapsed_s, status, _ in self.attempts:
            if status == 200:
                return sent_s + elapsed_s
        return None

    @property
    def is_good(self) -> bool:
        """Return whether an attempt was answered within its timeout."""
        return self.answered_s is not None

    @property
    def is_prompt(self) -> bool:
        """Return whether it was answered in TIMEOUT_S of first being sent."""
        answered_s = self.answered_s
        if answered_s is None:
            return False
        return answered_s - self.sent_s <= TIMEOUT_S


class CallerResult(msgspec.Struct, kw_only=True):
    """What one caller process measured."""

    originals: list[Original]


def load_at(moment_s: float) -> float:
    """Return the offered load over capacity, seconds after the start."""
    if WARM_UP_S <= moment_s < WARM_UP_S + SURGE_S:
        return SURGE_LOAD
    return LOW_LOAD


def total_s() -> float:
    """Return the length of all phases in seconds."""
    return WARM_UP_S + SURGE_S + RECOVERY_S


def originals(plan: CallerPlan) -> list[Original]:
    """Return the calls of a caller process, with Poisson arrivals."""
    rng = random.Random(plan.seed * 1000 + plan.number)
    names = [name for name, _, _ in WORKSPACES]
    shares = [share for _, share, _ in WORKSPACES]
    chain = [kind for kind in plan.targets if kind != 'side']
    result: list[Original] = []
    for bottleneck, rate in plan.rates.items():
        moment_s = 0.0
        while True:
            moment_s += rng.expovariate(rate * load_at(moment_s))
            if moment_s >= total_s():
                break
            kind = 'side' if bottleneck == 'side' else rng.choice(chain)
            is_post = rng.random() < POST_SHARE
            result.append(
                Original(
                    id=f'{plan.number}-{bottleneck}-{len(result)}',
                    kind=kind,
                    workspace=rng.choices(names, shares)[0],
                    importance=rng.choices(CLASSES, CLASS_SHARES)[0],
                    method='POST' if is_post else 'GET',
                    sent_s=moment_s,
                    attempts=[],
                )
            )
    return sorted(result, key=lambda item: item.sent_s)


def target(services: list[str], importance: str, call_id: str) -> str:
    """Return the path of a call that goes through the services in order."""
    child = ''
    for service in reversed(services):
        query = {'id': call_id}
        if child:
            query['child'] = child
        child = f'/{service}/{importance}?{urllib.parse.urlencode(query)}'
    return child


def key(workspace: str) -> str:
    """Return the key of a workspace."""
    return f'key-of-{workspace}'


def rate_of(share: float) -> float:
    """Return the rate of a workspace, enough for all its attempts."""
    calls = SURGE_LOAD * max(CAPACITIES.values()) * share
    return 1.5 * MAX_ATTEMPTS * calls


def document(service: str) -> dict[str, Any]:
    """Return the document of a service."""
    return {
        'version': 1,
        'service': service,
        'routes': [
            {'path': f'/{name}', 'importance': name} for name in CLASSES
        ],
        'workspaces': {
            name: {
                'rate': rate_of(share),
                'burst': rate_of(share),
                'weight': weight,
            }
            for name, share, weight in WORKSPACES
        },
    }


def specs(deployment: Deployment, control: str) -> list[fleet.DaemonSpec]:
    """Return the daemons of a deployment, over three failure domains."""
    return [
        fleet.DaemonSpec(
            daemon_id=f'{service.name}-{number}',
            service=service.name,
            failure_domain=f'domain-{number % 3 + 1}',
            behaviour=behaviour(service, 1.0),
            control=control,
        )
        for service in deployment.services
        for number in range(service.upstreams)
    ]


def behaviour(service: ServicePlan, slowdown: float) -> dict[str, Any]:
    """Return the behaviour of an upstream slowed down by a factor."""
    return {
        'service_s': service.service_s * slowdown,
        'jitter': 0.2,
        'slots': service.slots,
        'cancellable': True,
    }


def encode(plan: CallerPlan) -> str:
    """Return a plan as one argument."""
    return json.dumps(msgspec.to_builtins(plan))
