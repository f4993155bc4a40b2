"""Deployments and offered load of the overload experiment."""

import dataclasses
import json
import random
from typing import Any, Final
import urllib.parse

import msgspec

from lab import fleet

IMPORTANCE_CLASSES: Final = ('critical', 'high', 'normal', 'low')
# Fraction of the calls by importance class. At twice the capacity, critical
# and high calls need 0.6 of it, normal calls 0.8 and low ones 0.6, so that the
# capacity runs out within the normal class and is divided by fair shares.
CLASS_SHARES: Final = (0.1, 0.2, 0.4, 0.3)
# Name, fraction of the calls, and weight. The two large workspaces send 0.35
# of the calls each.
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
# Capacity of the deepest service and of the side service. At higher rates, the
# CPU time of the daemons adds noticeably to the time that a call holds a slot.
CAPACITIES_PER_S: Final = {'chain': 60.0, 'side': 100.0}
TIMEOUT_S: Final = 2.0
MAX_ATTEMPTS: Final = 5
RETRY_DELAY_MAX_S: Final = 0.008
WARM_UP_S: Final = 8.0
SURGE_S: Final = 10.0
RECOVERY_S: Final = 10.0
# Offered load as a multiple of the capacity.
LOW_LOAD: Final = 0.5
SURGE_LOAD: Final = 2.0
# Fraction of the original calls sent with POST, which must not run twice.
POST_FRACTION: Final = 0.2
CALLER_PROCESSES: Final = 4
# Service time of the services that only call the next one of the chain.
_FORWARDING_SERVICE_S: Final = 0.02


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServicePlan:
    """A service of a deployment.

    Attributes:
        upstreams: Number of upstreams.
        slots: Slots of each upstream after scaling.
        unscaled_slots: Slots of each upstream in the real deployment.
        service_s: Service time in seconds, without that of child calls.
    """

    name: str
    upstreams: int
    slots: int
    unscaled_slots: int
    service_s: float

    @property
    def capacity_per_s(self) -> float:
        """Return the calls per second that all upstreams together can run."""
        return self.upstreams * self.slots / self.service_s


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deployment:
    """A deployment with two bottlenecks.

    Attributes:
        scale: Divisor of the real slot counts.
        services: The chain from its first to its deepest service, then the
            side service, which only callers call. The bottom is the deepest
            service of the chain.
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
    def deepest(self) -> ServicePlan:
        """Return the deepest service of the chain."""
        return self.services[-2]

    @property
    def side(self) -> ServicePlan:
        """Return the service outside the chain, without child calls."""
        return self.services[-1]

    def services_by_call_kind(self) -> dict[str, list[str]]:
        """Return the services that each kind of call passes, in order."""
        names = [service.name for service in self.chain]
        return {
            'depth-1': names[2:],
            'depth-2': names[1:],
            'depth-3': names,
            'side': [self.side.name],
        }


def _build_deployment(
    name: str,
    description: str,
    scale: int,
    service_sizes: tuple[tuple[str, int, int], ...],
) -> Deployment:
    services = []
    for position, (service, upstreams, unscaled_slots) in enumerate(
        service_sizes
    ):
        slots = max(1, round(unscaled_slots / scale))
        service_s = _FORWARDING_SERVICE_S
        if position == len(service_sizes) - 2:
            service_s = upstreams * slots / CAPACITIES_PER_S['chain']
        elif position == len(service_sizes) - 1:
            service_s = upstreams * slots / CAPACITIES_PER_S['side']
        services.append(
            ServicePlan(
                name=service,
                upstreams=upstreams,
                slots=slots,
                unscaled_slots=unscaled_slots,
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
    'coastal': _build_deployment(
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
    'workshops': _build_deployment(
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
    """Load that one caller process offers.

    Attributes:
        number: Number of the process; a part of the seed and of call ids.
        start_unix_s: Start of the warm-up.
        rates: Original calls per second of this process at the capacity, by
            bottleneck.
        addresses: Addresses (host:port) of daemons that accept calls.
        targets: Services that each kind of call goes through, in order.
    """

    number: int
    seed: int
    start_unix_s: float
    rates: dict[str, float]
    addresses: list[str]
    targets: dict[str, list[str]]


class OriginalCall(msgspec.Struct, kw_only=True):
    """A call as its caller sees it, with all attempts.

    Attributes:
        sent_s: Planned time of the first attempt, in seconds since the start
            of the warm-up.
        late_start_s: Delay of the first attempt behind its planned time.
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
        """Return when the complete response arrived, or None."""
        for sent_s, elapsed_s, status, _ in self.attempts:
            if status == 200:
                return sent_s + elapsed_s
        return None

    @property
    def is_answered(self) -> bool:
        """Return whether an attempt succeeded within its own timeout."""
        return self.answered_s is not None

    @property
    def is_prompt(self) -> bool:
        """Return whether it succeeded in TIMEOUT_S from the first attempt."""
        answered_s = self.answered_s
        if answered_s is None:
            return False
        return answered_s - self.sent_s <= TIMEOUT_S


class CallerResult(msgspec.Struct, kw_only=True):
    """Calls of one caller process with their attempts."""

    originals: list[OriginalCall]


def offered_load(time_s: float) -> float:
    """Return the offered load at a time, as a multiple of the capacity."""
    if WARM_UP_S <= time_s < WARM_UP_S + SURGE_S:
        return SURGE_LOAD
    return LOW_LOAD


def total_duration_s() -> float:
    """Return the total length of all phases in seconds."""
    return WARM_UP_S + SURGE_S + RECOVERY_S


def generate_calls(plan: CallerPlan) -> list[OriginalCall]:
    """Return the calls of a caller process, with Poisson arrivals."""
    rng = random.Random(plan.seed * 1000 + plan.number)
    names = [name for name, _, _ in WORKSPACES]
    shares = [share for _, share, _ in WORKSPACES]
    chain = [kind for kind in plan.targets if kind != 'side']
    result: list[OriginalCall] = []
    for bottleneck, rate in plan.rates.items():
        time_s = 0.0
        while True:
            time_s += rng.expovariate(rate * offered_load(time_s))
            if time_s >= total_duration_s():
                break
            kind = 'side' if bottleneck == 'side' else rng.choice(chain)
            is_post = rng.random() < POST_FRACTION
            result.append(
                OriginalCall(
                    id=f'{plan.number}-{bottleneck}-{len(result)}',
                    kind=kind,
                    workspace=rng.choices(names, shares)[0],
                    importance=rng.choices(IMPORTANCE_CLASSES, CLASS_SHARES)[
                        0
                    ],
                    method='POST' if is_post else 'GET',
                    sent_s=time_s,
                    attempts=[],
                )
            )
    return sorted(result, key=lambda item: item.sent_s)


def build_target(services: list[str], importance: str, call_id: str) -> str:
    """Return the request target of a call through the services in order."""
    child = ''
    for service in reversed(services):
        query = {'id': call_id}
        if child:
            query['child'] = child
        child = f'/{service}/{importance}?{urllib.parse.urlencode(query)}'
    return child


def api_key(workspace: str) -> str:
    """Return the API key of a workspace."""
    return f'key-of-{workspace}'


def rate_limit_per_s(share: float) -> float:
    """Return the rate limit of a workspace, enough for all its attempts."""
    calls = SURGE_LOAD * max(CAPACITIES_PER_S.values()) * share
    return 1.5 * MAX_ATTEMPTS * calls


def build_document(service: str) -> dict[str, Any]:
    """Return the configuration document of a service."""
    return {
        'version': 1,
        'service': service,
        'routes': [
            {'path': f'/{name}', 'importance': name}
            for name in IMPORTANCE_CLASSES
        ],
        'workspaces': {
            name: {
                'rate': rate_limit_per_s(share),
                'burst': rate_limit_per_s(share),
                'weight': weight,
            }
            for name, share, weight in WORKSPACES
        },
    }


def daemon_specs(
    deployment: Deployment, control: str
) -> list[fleet.DaemonSpec]:
    """Return the daemons of a deployment, over three failure domains."""
    return [
        fleet.DaemonSpec(
            daemon_id=f'{service.name}-{number}',
            service=service.name,
            failure_domain=f'domain-{number % 3 + 1}',
            behaviour=upstream_behaviour(service, 1.0),
            control=control,
        )
        for service in deployment.services
        for number in range(service.upstreams)
    ]


def upstream_behaviour(
    service: ServicePlan, slowdown: float
) -> dict[str, Any]:
    """Return the settings of an upstream with service times multiplied."""
    return {
        'service_s': service.service_s * slowdown,
        'jitter': 0.2,
        'slots': service.slots,
        'cancellable': True,
    }


def encode_plan(plan: CallerPlan) -> str:
    """Return a plan as JSON, to pass as one command line argument."""
    return json.dumps(msgspec.to_builtins(plan))
