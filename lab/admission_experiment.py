"""Compares goodput, recovery and fairness of admission with the baseline.

Runs in virtual time: `script/python -m lab.admission_experiment`.
"""

from typing import Annotated, Final

import typer

from lab import admission_sim
from sassafraswood.models import enums

SERVICE_S: Final = 0.05
# Slots per upstream of the services of both present deployments.
SLOT_COUNTS: Final = (15, 45, 60, 160, 200, 265)
WORKSPACE_COUNT: Final = 8


def _build_simulation(
    slots: int,
    seed: int,
    is_baseline: bool,
    rates: tuple[tuple[float, float], ...],
    announced_slots: int | None = None,
    sheds: bool = False,
) -> admission_sim.Simulation:
    """Return a simulation of workspaces that share the load equally.

    Args:
        slots: Calls that the upstream runs at full speed.
        seed: Seed of arrivals and service times.
        is_baseline: Whether to use the baseline instead of admission control.
        rates: (from second, load as a multiple of the capacity).
        announced_slots: Slots that the upstream announces; None for the real
            ones.
        sheds: Whether the upstream sheds calls beyond its slots.
    """
    simulation = admission_sim.Simulation(
        seed=seed,
        real_slots=slots,
        announced_slots=announced_slots,
        sheds=sheds,
        is_baseline=is_baseline,
    )
    rate_unit = slots / SERVICE_S / WORKSPACE_COUNT
    for number in range(WORKSPACE_COUNT):
        simulation.add_flow(
            admission_sim.Flow(
                workspace=f'w{number}',
                rates=tuple(
                    (since, rate_unit * load) for since, load in rates
                ),
                service_s=SERVICE_S,
            )
        )
    return simulation


def _wait_p99_ms(simulation: admission_sim.Simulation) -> float:
    waits_s = sorted(simulation.waits_s)
    return 1000 * waits_s[int(0.99 * len(waits_s))]


def _measure_overload(slots: int, seed: int, is_baseline: bool) -> str:
    simulation = _build_simulation(slots, seed, is_baseline, ((0, 2.0),))
    simulation.run(10)
    goodput = simulation.goodput(3, 10)
    return f'goodput={goodput:.3f} wait_p99={_wait_p99_ms(simulation):.0f}ms'


def _measure_surge(slots: int, seed: int, is_baseline: bool) -> str:
    rates = ((0, 0.95), (5, 4.0), (8, 0.95))
    simulation = _build_simulation(slots, seed, is_baseline, rates)
    simulation.run(14)
    goodput = simulation.goodput(10, 13)
    offered = simulation.offered(10, 13)
    return f'goodput_2s_after={goodput:.3f} offered={offered:.3f}'


def _measure_large_sender(slots: int, seed: int, is_baseline: bool) -> str:
    simulation = admission_sim.Simulation(
        seed=seed, real_slots=slots, is_baseline=is_baseline
    )
    rate_unit = 2 * slots / SERVICE_S / (WORKSPACE_COUNT + 9)
    for number in range(WORKSPACE_COUNT):
        rate = rate_unit * (10 if number == 0 else 1)
        simulation.add_flow(
            admission_sim.Flow(
                workspace=f'w{number}',
                rates=((0, rate),),
                service_s=SERVICE_S,
            )
        )
    simulation.run(12)
    return f'worst_share={simulation.lowest_fair_share_ratio(3, 12):.3f}'


def _measure_long_calls(slots: int, seed: int, is_baseline: bool) -> str:
    simulation = admission_sim.Simulation(
        seed=seed, real_slots=slots, is_baseline=is_baseline
    )
    for number in range(WORKSPACE_COUNT):
        service_s = SERVICE_S * (10 if number == 0 else 1)
        rate = 2 * slots / WORKSPACE_COUNT / SERVICE_S
        simulation.add_flow(
            admission_sim.Flow(
                workspace=f'w{number}',
                rates=((0, rate),),
                service_s=service_s,
                timeout_s=3.0,
                route=str(service_s),
            )
        )
    simulation.run(12)
    share = simulation.shares(4, 12)['w0'] * WORKSPACE_COUNT
    return f'long_calls_share={share:.3f}'


def _measure_classes(slots: int, seed: int, is_baseline: bool) -> str:
    simulation = admission_sim.Simulation(
        seed=seed, real_slots=slots, is_baseline=is_baseline
    )
    for importance in enums.Importance:
        simulation.add_flow(
            admission_sim.Flow(
                workspace=importance.name,
                rates=((2.5, 0.5 * slots / SERVICE_S),),
                service_s=SERVICE_S,
                importance=importance,
            )
        )
    simulation.run(10)
    fields = []
    for importance in reversed(enums.Importance):
        succeeded = simulation.succeeded_by_class[importance]
        served_fraction = succeeded / simulation.sent_by_class[importance]
        fields.append(f'{importance.name.lower()}={served_fraction:.3f}')
    return ' '.join(fields)


def _measure_excess_slots(slots: int, seed: int, is_baseline: bool) -> str:
    simulation = _build_simulation(
        slots, seed, is_baseline, ((0, 2.0),), announced_slots=2 * slots
    )
    simulation.run(12)
    limits = [limit for time_s, limit in simulation.limits if time_s >= 4]
    mean_limit = sum(limits) / len(limits) if limits else 2 * slots
    goodput = simulation.goodput(4, 12)
    return (
        f'goodput={goodput:.3f} limit_per_real_slot={mean_limit / slots:.2f}'
    )


def _measure_shedding(slots: int, seed: int, is_baseline: bool) -> str:
    simulation = _build_simulation(
        slots,
        seed,
        is_baseline,
        ((0, 2.0),),
        announced_slots=2 * slots,
        sheds=True,
    )
    simulation.run(12)
    return f'goodput={simulation.goodput(4, 12):.3f}'


def _measure_slowdown(slots: int, seed: int, is_baseline: bool) -> str:
    simulation = _build_simulation(slots, seed, is_baseline, ((0, 2.0),))
    simulation.schedule(4, lambda: simulation.set_slowdown(4.0))
    simulation.schedule(9, lambda: simulation.set_slowdown(1.0))
    simulation.run(14)
    slowed_goodput = simulation.goodput(5, 9) * 4
    goodput_after = simulation.goodput(11, 14)
    return (
        f'goodput_slow={slowed_goodput:.3f} '
        f'goodput_2s_after={goodput_after:.3f}'
    )


EXPERIMENTS: Final = {
    'overload at 2x': _measure_overload,
    'surge of 4x for 3 s': _measure_surge,
    'one of 8 sends 10x': _measure_large_sender,
    'one of 8 has 10x longer calls': _measure_long_calls,
    '4 classes at 0.5 each': _measure_classes,
    'twice the slots announced': _measure_excess_slots,
    'same, upstream sheds': _measure_shedding,
    'slowdown by 4x for 5 s': _measure_slowdown,
}


def main(
    size: Annotated[list[int] | None, typer.Option()] = None,
    seed: int = 1,
) -> None:
    """Print one line for each experiment, slot count and controller."""
    for name, experiment in EXPERIMENTS.items():
        for slots in size or SLOT_COUNTS:
            for is_baseline in (True, False):
                kind = 'baseline' if is_baseline else 'admission'
                result = experiment(slots, seed, is_baseline)
                print(
                    f'{name:30} slots={slots:<3} {kind:9} {result}', flush=True
                )


if __name__ == '__main__':
    typer.run(main)
