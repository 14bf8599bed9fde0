"""Compares scheduling policies on the same job traces."""

from __future__ import annotations

import functools
import importlib
import statistics
import sys
from typing import TYPE_CHECKING

import fire
import msgspec

from bench import baselines
from bench import fleets
from bench import metrics
from bench import replay
from bench import traces

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

DEFAULT_SEEDS = 20
SCHEDULER = 'scheduler'
_SCHEDULER_MODULE = 'damaskpin.scheduler.scheduler'
_BASELINES = {
    'first-fit': baselines.FirstFit,
    'best-fit-backfill': baselines.BestFitBackfill,
}


class Spread(msgspec.Struct, frozen=True):
    """Median and quartiles of a figure over several seeds.

    :ivar lower: lower quartile.
    :ivar upper: upper quartile.
    :ivar runs: number of runs for which the figure is defined.
    """

    median: float
    lower: float
    upper: float
    runs: int


class Report(msgspec.Struct, frozen=True):
    """Figures of all policies on one deployment.

    :ivar trace: deployment and size of the fleet.
    :ivar jobs: number of jobs of each trace.
    :ivar load: offered work divided by the capacity.
    :ivar spreads: quartiles by policy and figure.
    :ivar runs: figures by policy, one item for each seed.
    """

    trace: str
    jobs: int
    load: float
    faults: list[str]
    seeds: list[int]
    spreads: dict[str, dict[str, Spread]]
    runs: dict[str, list[metrics.Figures]]


def compare(
    deployment: str,
    policies: dict[str, Callable[..., Any]],
    seeds: list[int],
    jobs_count: int = traces.DEFAULT_JOBS,
    load: float = traces.DEFAULT_LOAD,
    fleet: str = fleets.SMALL_FLEET,
    faults: frozenset[traces.Fault] = frozenset(),
) -> Report:
    """Replay the same traces with every policy.

    :param deployment: ``shortlist`` or ``repair``.
    :param policies: factories of the policies by name.
    :param seeds: seeds of the traces.
    :returns: figures; equal arguments give equal figures.
    """
    runs: dict[str, list[metrics.Figures]] = {name: [] for name in policies}
    for seed in seeds:
        trace = traces.make_trace(
            deployment, seed, jobs_count, load, fleet, faults
        )
        for name, factory in policies.items():
            result = replay.replay_trace(trace, factory, seed)
            runs[name].append(metrics.compute_figures(result))
    return Report(
        trace=f'{deployment}-{fleet}',
        jobs=jobs_count,
        load=load,
        faults=sorted(faults),
        seeds=seeds,
        spreads={
            name: compute_spreads(figures) for name, figures in runs.items()
        },
        runs=runs,
    )


def compute_spreads(runs: list[metrics.Figures]) -> dict[str, Spread]:
    """Compute the median and the quartiles of each figure."""
    spreads = {}
    for field in metrics.Figures.__struct_fields__:
        values = [getattr(figures, field) for figures in runs]
        values = [float(value) for value in values if value is not None]
        if not values:
            continue
        lower = upper = median = values[0]
        if len(values) > 1:
            lower, median, upper = statistics.quantiles(
                values, n=4, method='inclusive'
            )
        spreads[field] = Spread(median, lower, upper, len(values))
    return spreads


def render(report: Report) -> str:
    """Render a report as a table of medians and quartiles."""
    names = list(report.spreads)
    faults = ', '.join(report.faults) or 'none'
    lines = [
        f'{report.trace}: {len(report.seeds)} seeds, {report.jobs} jobs, '
        f'load {report.load:g}, faults: {faults}',
        f'{"figure":<22}' + ''.join(f'{name:>34}' for name in names),
    ]
    for field in metrics.Figures.__struct_fields__:
        columns = [
            _format_spread(report.spreads[name].get(field)) for name in names
        ]
        lines.append(
            f'{field:<22}' + ''.join(f'{text:>34}' for text in columns)
        )
    return '\n'.join(lines)


def load_policies(
    names: list[str], scheduler_ref: str = ''
) -> dict[str, Callable[..., Any]]:
    """Return the factories of scheduling policies by name.

    :param names: names of policies; empty for all policies.
    :param scheduler_ref: importable module with another class
        ``Scheduler``, which is added under the name of the module. It must
        use the types of ``damaskpin.scheduler.decisions``.
    :raises ImportError: a module cannot be imported.
    :raises ValueError: a policy is unknown.
    """
    known = [*_BASELINES, SCHEDULER]
    unknown = sorted(set(names) - set(known))
    if unknown:
        raise ValueError(
            f'unknown policies {", ".join(unknown)}; known: {", ".join(known)}'
        )
    policies = {}
    for name in names or known:
        if name in _BASELINES:
            policies[name] = _BASELINES[name]
            continue
        module = importlib.import_module(_SCHEDULER_MODULE)
        policies[name] = module.Scheduler
    if scheduler_ref:
        module = importlib.import_module(scheduler_ref)
        policies[scheduler_ref] = module.Scheduler
    return policies


def run(
    deployment: str = 'all',
    seeds: int = DEFAULT_SEEDS,
    jobs: int = traces.DEFAULT_JOBS,
    load: float = traces.DEFAULT_LOAD,
    fleet: str = fleets.SMALL_FLEET,
    faults: str = '',
    policies: str = '',
    scheduler_ref: str = '',
    json: bool = False,
    output: str = '',
) -> None:
    """Compare policies on the same traces and print their figures.

    :param deployment: shortlist, repair or all.
    :param seeds: number of traces of each deployment.
    :param jobs: number of jobs of each trace.
    :param load: offered work divided by the capacity.
    :param fleet: small or large.
    :param faults: comma-separated faults, or all.
    :param policies: comma-separated policies; empty for all policies.
    :param scheduler_ref: another importable module with a Scheduler class.
    :param json: print JSON instead of a table.
    :param output: file to which the JSON is written too.
    """
    names = traces.DEPLOYMENTS if deployment == 'all' else (deployment,)
    chosen_policies = load_policies(_split_argument(policies), scheduler_ref)
    fault_kinds = frozenset(
        traces.Fault
        if faults == 'all'
        else map(traces.Fault, _split_argument(faults))
    )
    make_report = functools.partial(
        compare,
        policies=chosen_policies,
        seeds=list(range(seeds)),
        jobs_count=jobs,
        load=load,
        fleet=fleet,
        faults=fault_kinds,
    )
    reports = [make_report(name) for name in names]
    text = msgspec.json.format(msgspec.json.encode(reports), indent=2)
    if output:
        with open(output, 'wb') as file:
            file.write(text)
    if json:
        sys.stdout.write(text.decode() + '\n')
        return
    sys.stdout.write('\n\n'.join(map(render, reports)) + '\n')


def _split_argument(value: str | tuple[str, ...]) -> list[str]:
    """Split a comma-separated argument, which fire may have made a tuple."""
    if isinstance(value, str):
        return [part for part in value.split(',') if part]
    return list(value)


def _format_spread(spread: Spread | None) -> str:
    if spread is None:
        return '-'
    return (
        f'{_format_number(spread.median)} '
        f'[{_format_number(spread.lower)}, {_format_number(spread.upper)}]'
    )


def _format_number(value: float) -> str:
    return f'{value:.0f}' if abs(value) >= 100 else f'{value:.3g}'


if __name__ == '__main__':
    fire.Fire(run)
