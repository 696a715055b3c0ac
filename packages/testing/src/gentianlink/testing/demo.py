"""Demonstrate a deployment of Kingston's services in local processes.

Starts nodes and targets, applies two versions of the catalogue, sends calls meanwhile
and stops all processes.
"""

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
    """Return the status of a member's node, None if the request fails.

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
        Condition on a decoded status.
    timeout_s : float, optional
        Timeout in seconds.

    Returns
    -------
    list of dict
        The statuses.

    Raises
    ------
    TimeoutError
        If the condition is not met within the timeout.
    """
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        statuses = [await get_status(member) for member in members]
        if all(status and is_reached(status) for status in statuses):
            return statuses
        await asyncio.sleep(POLL_S)
    raise TimeoutError(f"statuses: {statuses}")


def run_operator_command(fleet, *words):
    """Run the command line against the platform of a deployment.

    Parameters
    ----------
    fleet : Fleet
        The deployment.
    *words : str
        Command, arguments and options without the addresses of the platform.

    Returns
    -------
    str
        Output of the command.

    Raises
    ------
    subprocess.CalledProcessError
        If the exit code is not 0.
    """
    binary = pathlib.Path(sys.executable).parent / "gentianlink"
    command = [str(binary), *words]
    command += ["--table-url", f"{fleet.platform_url}/table"]
    command += ["--object-url", f"{fleet.platform_url}/objects"]
    result = subprocess.run(command, stdout=subprocess.PIPE, text=True, check=True)
    return result.stdout


def apply_catalogue(fleet, path, why, *options):
    """Apply a catalogue file with the command line.

    Parameters
    ----------
    fleet : Fleet
        Deployment whose platform stores the catalogue.
    path : pathlib.Path
        Catalogue file.
    why : str
        Reason for the change, for the audit trail.
    *options : str
        Further options of ``gentianlink catalogue apply``.

    Returns
    -------
    str
        Output of the command.
    """
    words = ("catalogue", "apply", str(path), "--why", why, "--yes", *options)
    return run_operator_command(fleet, *words)


async def send_calls(fleet, count):
    """Send calls one after another, through the nodes in turn.

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
    """Start Kingston's services in three data centres, with a node for each target.

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
    """Return a condition for `wait_for`: at least this version is in force."""
    return lambda status: status["version"] >= version


def change_deadline(fleet):
    """Write the example catalogue with one deadline changed.

    Parameters
    ----------
    fleet : Fleet
        Deployment in whose directory the file is written.

    Returns
    -------
    pathlib.Path
        Path of the file.
    """
    path = fleet.log_path.parent / "changed.catalogue.ini"
    text = CATALOGUE.read_text()
    path.write_text(text.replace("deadline_ms = 800", "deadline_ms = 700"))
    return path


def show(title, text):
    """Print the heading and the result of a step.

    Parameters
    ----------
    title : str
        Heading.
    text : str
        Result of the step.
    """
    print(f"\n== {title}")
    print(text.rstrip(), flush=True)


async def run(fleet):
    """Apply two versions of the catalogue during calls and print the results.

    Parameters
    ----------
    fleet : Fleet
        The running deployment.
    """
    members = fleet.members
    started_s = time.monotonic()
    await wait_for(members, lambda status: status["ready"])
    waited_s = time.monotonic() - started_s
    show("start", f"{len(members)} nodes are ready after {waited_s:.1f} s")
    title = "gentianlink catalogue apply kingston.catalogue.ini --wait"
    show(title, apply_catalogue(fleet, CATALOGUE, "first catalogue", "--wait"))
    await wait_for(
        members, lambda status: sorted(status["endpoints"].values()) == [3, 3, 5]
    )
    calls = asyncio.create_task(send_calls(fleet, CALLS))
    title = "gentianlink catalogue apply changed.catalogue.ini --wait, during calls"
    path = change_deadline(fleet)
    output = await asyncio.to_thread(
        apply_catalogue, fleet, path, "shorter deadline", "--wait"
    )
    show(title, output)
    outcomes = await calls
    lines = [
        f"{path:24} {outcome:10} {count}"
        for (path, outcome), count in sorted(outcomes.items())
    ]
    show(f"outcomes of {CALLS} calls", "\n".join(lines))
    words = ("explain", "/inquiry/balance")
    show("gentianlink explain /inquiry/balance", run_operator_command(fleet, *words))
    show("gentianlink audit", run_operator_command(fleet, "audit"))
    show("gentianlink status", run_operator_command(fleet, "status"))


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
    show("stop", "all processes stopped")


if __name__ == "__main__":
    main()
