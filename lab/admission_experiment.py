"""Goodput, recovery and fair shares of admission against the baseline.

Virtual time; run with `script/python -m lab.admission_experiment`.
"""

from typing import Annotated, Final

import typer

from lab import admission_sim
from sassafraswood.models import enums

SERVICE_S: Final = 0.05
# Slots of the upstreams of both deployments of today.
SIZES: Final = (15, 45, 60, 160, 200, 265)
WORKSPACES: Final = 8


def _simulation(
    slots: int,
    seed: int,
    is_baseline: bool,
    rates: tuple[tuple[float, float], ...],
    announced_slots: int | None = None,
    sheds: bool = False,
) -> admission_sim.Simulation:
    """Return a simulation; rates are in units of the capacity."""
    simulation = admission_sim.Simulation(
        seed=seed,
        real_slots=slots,
        announced_slots=announced_slots,
        sheds=sheds,
        is_baseline=is_baseline,
    )
    unit = slots / SERVICE_S / WORKSPACES
    for number in range(WORKSPACES):
        simulation.add(
            admission_sim.Flow(
                workspace=f'w{number}',
                rates=tuple((since, unit * load) for since, load in rates),
                service_s=SERVICE_S,
            )
        )
    return simulation


def _wait_p99_ms(simulation: admission_sim.Simulation) -> float:
    waits_s = sorted(simulation.waits_s)
    return 1000 * waits_s[int(0.99 * len(waits_s))]


def _overload(slots: int, seed: int, is_baseline: bool) -> str:
    simulation = _simulation(slots, seed, is_baseline, ((0, 2.0),))
    simulation.run(10)
    goodput = simulation.goodput(3, 10)
    return f'goodput={goodput:.3f} wait_p99={_wait_p99_ms(simulation):.0f}ms'


def _surge(slots: int, seed: int, is_baseline: bool) -> str:
    rates = ((0, 0.95), (5, 4.0), (8, 0.95))
    simulation = _simulation(slots, seed, is_baseline, rates)
    simulation.run(14)
    goodput = simulation.goodput(10, 13)
    offered = simulation.offered(10, 13)
    return f'goodput_2s_after={goodput:.3f} offered={offered:.3f}'


def _unequal(slots: int, seed: int, is_baseline: bool) -> str:
    simulation = admission_sim.Simulation(
        seed=seed, real_slots=slots, is_baseline=is_baseline
    )
    unit = 2 * slots / SERVICE_S / (WORKSPACES + 9)
    for number in range(WORKSPACES):
        rate = unit * (10 if number == 0 else 1)
        simulation.add(
            admission_sim.Flow(
                workspace=f'w{number}',
                rates=((0, rate),),
                service_s=SERVICE_S,
            )
        )
    simulation.run(12)
    return f'worst_share={simulation.worst_share(3, 12):.3f}'


def _long_calls(slots: int, seed: int, is_baseline: bool) -> str:
    simulation = admission_sim.Simulation(
        seed=seed, real_slots=slots, is_baseline=is_baseline
    )
    for number in range(WORKSPACES):
        service_s = SERVICE_S * (10 if number == 0 else 1)
        rate = 2 * slots / WORKSPACES / SERVICE_S
        simulation.add(
            admission_sim.Flow(
                workspace=f'w{number}',
                rates=((0, rate),),
                service_s=service_s,
                timeout_s=3.0,
                route=str(service_s),
            )
        )
    simulation.run(12)
    share = simulation.shares(4, 12)['w0'] * WORKSPACES
    return f'long_calls_share={share:.3f}'


def _classes(slots: int, seed: int, is_baseline: bool) -> str:
    simulation = admission_sim.Simulation(
        seed=seed, real_slots=slots, is_baseline=is_baseline
    )
    for importance in enums.Importance:
        simulation.add(
            admission_sim.Flow(
                workspace=importance.name,
                rates=((2.5, 0.5 * slots / SERVICE_S),),
                service_s=SERVICE_S,
                importance=importance,
            )
        )
    simulation.run(10)
    parts = []
    for importance in reversed(enums.Importance):
        good = simulation.good_by_class[importance]
        served = good / simulation.sent_by_class[importance]
        parts.append(f'{importance.name.lower()}={served:.3f}')
    return ' '.join(parts)


def _wrong_slots(slots: int, seed: int, is_baseline: bool) -> str:
    simulation = _simulation(
        slots, seed, is_baseline, ((0, 2.0),), announced_slots=2 * slots
    )
    simulation.run(12)
    limits = [limit for when, limit in simulation.limits if when >= 4]
    mean = sum(limits) / len(limits) if limits else 2 * slots
    goodput = simulation.goodput(4, 12)
    return f'goodput={goodput:.3f} limit_per_real_slot={mean / slots:.2f}'


def _shedding(slots: int, seed: int, is_baseline: bool) -> str:
    simulation = _simulation(
        slots,
        seed,
        is_baseline,
        ((0, 2.0),),
        announced_slots=2 * slots,
        sheds=True,
    )
    simulation.run(12)
    return f'goodput={simulation.goodput(4, 12):.3f}'


def _slowdown(slots: int, seed: int, is_baseline: bool) -> str:
    simulation = _simulation(slots, seed, is_baseline, ((0, 2.0),))
    simulation.at(4, lambda: simulation.set_slowdown(4.0))
    simulation.at(9, lambda: simulation.set_slowdown(1.0))
    simulation.run(14)
    slow = simulation.goodput(5, 9) * 4
    after = simulation.goodput(11, 14)
    return f'goodput_slow={slow:.3f} goodput_2s_after={after:.3f}'


EXPERIMENTS: Final = {
    'overload at 2x': _overload,
    'surge of 4x for 3 s': _surge,
    'one of 8 sends 10x': _unequal,
    'one of 8 has 10x longer calls': _long_calls,
    '4 classes at 0.5 each': _classes,
    'twice the slots announced': _wrong_slots,
    'same, upstream sheds': _shedding,
    'slowdown by 4x for 5 s': _slowdown,
}


def main(
    size: Annotated[list[int] | None, typer.Option()] = None,
    seed: int = 1,
) -> None:
    """Print one line for each experiment, size and kind of admission."""
    for name, experiment in EXPERIMENTS.items():
        for slots in size or SIZES:
            for is_baseline in (True, False):
                kind = 'baseline' if is_baseline else 'admission'
                result = experiment(slots, seed, is_baseline)
                print(
                    f'{name:30} slots={slots:<3} {kind:9} {result}', flush=True
                )


if __name__ == '__main__':
    typer.run(main)
