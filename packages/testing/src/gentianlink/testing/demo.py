"""Run Kingston's services on this machine: apply a change, serve calls, stop."""

import asyncio
import collections
import json
import pathlib
import subprocess
import sys
import time

from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from gentianlink.testing.fleet import Fleet

ROOT = pathlib.Path(__file__).parents[5]
CATALOGUE = ROOT / "examples" / "kingston.catalogue.ini"
SERVICES = {"inquiry": 5, "redemption": 3, "registry": 3}
DATA_CENTRES = 3
START_TIMEOUT_S = 30
POLL_S = 0.02
CALLS = 200
LOG_CHARACTERS_SHOWN = 4000
PATHS = ("/inquiry/balance", "/redemption/redeem", "/registry/purchase")


async def get_status(member):
    """Return the status of a member's node, None if it does not answer.

    Parameters
    ----------
    member : Member
        The member.

    Returns
    -------
    dict or None
        Decoded status.
    """
    try:
        response = await AsyncHTTPClient().fetch(f"{member.admin_url}/v1/status")
    except (HTTPClientError, OSError):
        return None
    return json.loads(response.body)


async def wait_for(members, is_reached, timeout_s=START_TIMEOUT_S):
    """Wait until the status of every member meets a condition.

    Parameters
    ----------
    members : list of Member
        The members.
    is_reached : callable
        Takes a decoded status.
    timeout_s : float, optional
        Bound in seconds.

    Returns
    -------
    list of dict
        The statuses.

    Raises
    ------
    TimeoutError
        If the bound passes.
    """
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        statuses = [await get_status(member) for member in members]
        if all(status and is_reached(status) for status in statuses):
            return statuses
        await asyncio.sleep(POLL_S)
    raise TimeoutError(f"statuses: {statuses}")


def apply_catalogue(fleet, path, why):
    """Apply a catalogue file with the command line.

    Parameters
    ----------
    fleet : Fleet
        Deployment whose platform takes the change.
    path : pathlib.Path
        Catalogue file.
    why : str
        Reason.

    Returns
    -------
    str
        Output of the command.
    """
    binary = pathlib.Path(sys.executable).parent / "gentianlink"
    command = [str(binary), "catalogue", "apply", str(path), "--why", why, "--yes"]
    command += ["--table-url", f"{fleet.platform_url}/table"]
    command += ["--object-url", f"{fleet.platform_url}/objects"]
    result = subprocess.run(command, capture_output=True, text=True, check=True)
    return result.stdout


async def send_calls(fleet, count):
    """Send calls through all nodes in turn.

    Parameters
    ----------
    fleet : Fleet
        The deployment.
    count : int
        Number of calls.

    Returns
    -------
    collections.Counter
        Numbers of calls by path and outcome.
    """
    outcomes = collections.Counter()
    for number in range(count):
        member = fleet.members[number % len(fleet.members)]
        path = PATHS[number % len(PATHS)]
        response = await AsyncHTTPClient().fetch(
            member.call_url + path,
            method="POST",
            body=b"{}",
            headers={"Idempotency-Key": f"demo-{number}"},
            raise_error=False,
        )
        outcome = response.headers.get("X-Gentianlink-Outcome", "none")
        outcomes[path, outcome] += 1
    return outcomes


def start_fleet():
    """Start Kingston's services with a node each over three data centres.

    Returns
    -------
    Fleet
        The running deployment.
    """
    fleet = Fleet("kingston")
    fleet.start_platform()
    for service, count in SERVICES.items():
        for number in range(count):
            member = fleet.add_member(service, number + 1, number % DATA_CENTRES + 1)
            fleet.start_node(member)
            fleet.start_target(member, slots=10, work_ms=5)
    return fleet


def has_version(version):
    """Return a condition: the node enforces at least a version."""
    return lambda status: status["version"] >= version


async def run(fleet):
    """Apply a change, serve calls and print what happened.

    Parameters
    ----------
    fleet : Fleet
        The running deployment.
    """
    members = fleet.members
    await wait_for(members, lambda status: status["ready"])
    print(f"{len(members)} nodes are ready")
    asked_ms = time.time_ns() // 1_000_000
    print(apply_catalogue(fleet, CATALOGUE, "first catalogue"), end="")
    statuses = await wait_for(members, has_version(1))
    last_ms = max(status["applied_ms"]["1"] for status in statuses)
    print(f"in force on every node {last_ms - asked_ms} ms after the command began")
    await wait_for(
        members, lambda status: sorted(status["endpoints"].values()) == [3, 3, 5]
    )
    for (path, outcome), count in sorted((await send_calls(fleet, CALLS)).items()):
        print(f"{path:24} {outcome:10} {count}")


def main():
    """Run the demonstration."""
    fleet = start_fleet()
    try:
        asyncio.run(run(fleet))
    except TimeoutError:
        print(fleet.log_path.read_text()[:LOG_CHARACTERS_SHOWN])
        raise
    finally:
        fleet.stop()
        print("all processes stopped")


if __name__ == "__main__":
    main()
