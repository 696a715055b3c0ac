"""Run both deployments under load, faults and changes; print broken promises."""

import asyncio
import collections
import pathlib
import random

import typer

from gentianlink.node.background import start_task
from gentianlink.node.clock import get_now_ms
from gentianlink.testing.demo import wait_for
from gentianlink.testing.execution_log import read_executions
from gentianlink.testing.fleet import Fleet
from gentianlink.testing.soak.deployment import DATA_CENTRES, DEPLOYMENTS
from gentianlink.testing.soak.injector import WORK_MS, Injector
from gentianlink.testing.soak.load import Load
from gentianlink.testing.soak.observations import Observations
from gentianlink.testing.soak.observer import observe_node
from gentianlink.testing.soak.operator import Operator
from gentianlink.testing.soak.soak_result import SoakResult
from gentianlink.testing.soak.verdict import check_accepted, get_violations

EXAMPLES = pathlib.Path(__file__).parents[6] / "examples"
START_TIMEOUT_S = 60
VIOLATIONS_SHOWN = 20
SETTLE_S = 6.0
S_PER_MINUTE = 60
MS_PER_S = 1000


def start_fleet(deployment):
    """Start the processes of a deployment.

    Parameters
    ----------
    deployment : Deployment
        The deployment.

    Returns
    -------
    Fleet
        The running processes.
    """
    fleet = Fleet(deployment.region)
    fleet.start_platform()
    for service, count in deployment.services.items():
        for number in range(count):
            member = fleet.add_member(service, number + 1, number % DATA_CENTRES + 1)
            fleet.start_node(member)
            fleet.start_target(member, deployment.slots, WORK_MS)
    return fleet


async def run_deployment(deployment, fleet, seconds, rate, seed):
    """Run one deployment under load, faults and changes.

    Parameters
    ----------
    deployment : Deployment
        The deployment.
    fleet : Fleet
        Processes of the deployment.
    seconds : float
        Length of the run in seconds.
    rate : float
        Calls per second.
    seed : int
        Seed of calls, faults and changes.

    Returns
    -------
    SoakResult
        Observations, executions and changes of the run.
    """
    rng = random.Random(f"{seed} {deployment.region}")
    observations = Observations()
    text = (EXAMPLES / deployment.catalogue).read_text()
    operators = [Operator(name, fleet, text, rng) for name in ("ann", "ben")]
    await wait_for(fleet.members, lambda status: status["ready"], START_TIMEOUT_S)
    await operators[0].change_once()
    await wait_for(
        fleet.members,
        lambda status: (
            len(status["endpoints"]) == len(deployment.paths)
            and all(status["endpoints"].values())
        ),
    )
    observers = [
        start_task(observe_node(member, observations), "observer")
        for member in fleet.members
    ]
    load = Load(deployment, fleet.members, observations, rng)
    injector = Injector(deployment, fleet, observations, rng)
    until_ms = get_now_ms() + int(seconds * MS_PER_S)
    await asyncio.gather(
        load.run(rate, until_ms),
        injector.run(until_ms),
        *(operator.run(until_ms) for operator in operators),
    )
    await asyncio.sleep(SETTLE_S)
    for observer in observers:
        observer.cancel()
    changes = await operators[0].read_changes()
    paths = [fleet.get_execution_log_path(member) for member in fleet.members]
    executions = read_executions(paths)
    accepted = [change for operator in operators for change in operator.accepted]
    return SoakResult(observations, executions, changes, accepted)


def check_run(deployment, fleet, result):
    """Run all checks on the result of one deployment and print a report.

    Parameters
    ----------
    deployment : Deployment
        The deployment.
    fleet : Fleet
        Processes of the deployment.
    result : SoakResult
        Result of the run.

    Returns
    -------
    list of Violation
        Broken promises.
    """
    node_ids = [member.node_id for member in fleet.members]
    violations = get_violations(
        result.observations, result.executions, result.changes, deployment, node_ids
    )
    violations += check_accepted(result.accepted, result.changes)
    _print_report(
        deployment,
        result.observations,
        result.executions,
        result.changes,
        violations,
    )
    return violations


def _print_report(deployment, observations, executions, changes, violations):
    outcomes = collections.Counter(
        f"{call.outcome} {call.reason}".strip() for call in observations.calls
    )
    faults = collections.Counter(name for _, name, _ in observations.faults)
    print(f"{deployment.region}: {len(observations.calls)} calls {dict(outcomes)}")
    print(f"  {len(executions)} executions, {len(changes)} changes")
    print(f"  {len(observations.faults)} faults {dict(faults)}")
    print(f"  {len(observations.versions)} observations of versions")
    print(f"  {len(violations)} violations")
    kinds = collections.Counter(violation.promise for violation in violations)
    for kind, count in kinds.items():
        print(f"  {kind}: {count}")
    for violation in violations[:VIOLATIONS_SHOWN]:
        print(f"    {violation}")


async def run_all(fleets, seconds, rate, seed):
    """Run all deployments concurrently and return the result of each."""
    return await asyncio.gather(
        *(
            run_deployment(deployment, fleet, seconds, rate, seed)
            for deployment, fleet in fleets
        )
    )


def main(minutes: float = 20.0, rate: float = 60.0, seed: int = 1):
    """Run both deployments; exit with 1 if any promise was broken."""
    fleets = [(deployment, start_fleet(deployment)) for deployment in DEPLOYMENTS]
    try:
        seconds = minutes * S_PER_MINUTE
        results = asyncio.run(run_all(fleets, seconds, rate, seed))
        # The checks block, so they run only after all deployments have ended.
        violations = [
            violation
            for (deployment, fleet), result in zip(fleets, results, strict=True)
            for violation in check_run(deployment, fleet, result)
        ]
    finally:
        for _, fleet in fleets:
            fleet.stop()
    raise typer.Exit(1 if violations else 0)


if __name__ == "__main__":
    typer.run(main)
