"""Submit a change for ``apply`` and ``revert``: propose it, report it, and wait."""

import time
import uuid

import attrs
import typer

from gentianlink.core.errors import PlatformError
from gentianlink.store.change_request import ChangeRequest
from gentianlink.tools.command import confirm
from gentianlink.tools.commands.diff import print_differences
from gentianlink.tools.errors import NodeUnreachable, NoNodeFound, WaitFailed
from gentianlink.tools.output import format_time, print_json, print_lines
from gentianlink.tools.proposal import propose
from gentianlink.tools.waiting import print_progress, wait_until_in_force


@attrs.frozen
class SubmissionOptions:
    """How a change is submitted and reported.

    Attributes
    ----------
    is_confirmed : bool
        Whether the change is submitted without a question to the operator.
    is_waiting : bool
        Whether to wait until every node enforces the version.
    timeout_s : float
        Longest wait in seconds.
    as_json : bool
        Whether the result is printed as JSON.
    """

    is_confirmed: bool
    is_waiting: bool
    timeout_s: float
    as_json: bool


def make_request(change_id, who, why):
    """Return a request for a change, with a new id if none is given.

    A given id may be that of an earlier request which can still take effect.

    Parameters
    ----------
    change_id : str
        Identifier; empty for a new one.
    who : str
        Operator.
    why : str
        Reason.

    Returns
    -------
    ChangeRequest
        The request.
    """
    is_repeat = bool(change_id)
    return ChangeRequest(change_id or str(uuid.uuid4()), who, why, is_repeat)


async def submit(access, proposal, options):
    """Propose a catalogue, print the outcome, and wait if the options say so.

    Parameters
    ----------
    access : OperatorAccess
        The platform and the nodes.
    proposal : Proposal
        The proposed catalogue and the request.
    options : SubmissionOptions
        How the change is submitted and reported.

    Raises
    ------
    GentianlinkError
        If the change was not accepted, its outcome is unknown, or waiting failed.
    """

    def confirm_change(version, differences):
        if options.is_confirmed:
            return
        print_differences(version, differences)
        confirm("make this the next version?")

    change = await propose(access.store, proposal, confirm_change)
    accepted_s = time.monotonic()
    _report(change, options)
    if change is None or not options.is_waiting:
        return
    try:
        convergence = await wait_until_in_force(
            access.nodes, change.version, options.timeout_s, print_progress
        )
    except (NodeUnreachable, NoNodeFound, PlatformError) as error:
        raise WaitFailed(change.version, error) from error
    waited_ms = int((time.monotonic() - accepted_s) * 1000)
    if not options.as_json:
        typer.echo(
            f"in force on all {convergence.nodes} nodes, "
            f"{waited_ms} ms after it was accepted"
        )


def _report(change, options):
    if options.as_json:
        print_json({"change": change})
        return
    if change is None:
        typer.echo("no difference: nothing was changed")
        return
    typer.echo(f"accepted version {change.version} at {format_time(change.when_ms)}")
    print_lines(change.difference)
