"""Header between the node where a call arrives and the node beside its target.

Traffic between data centres is paid by the byte, so a forwarded call and its answer
each carry all their metadata in one short header.
"""

import string

import attrs

from gentianlink.core.outcome import Outcome
from gentianlink.core.reason import Reason
from gentianlink.node.proxy.refusal import Refusal
from gentianlink.sidecar.target_load import TargetLoad

HOP_HEADER = "Gl-Hop"
_MAY_WAIT = "w"
_REPEATABLE = "r"
_NO_FLAG = "-"
_ANSWERED = "d"


@attrs.frozen
class Hop:
    """Metadata of a forwarded call for the node beside its target.

    Attributes
    ----------
    incarnation : int
        Incarnation of that node in the sender's view.
    target_id : str
        Target that the call is meant for.
    rule_name : str
        Name of the rule that matches the call.
    priority : int
        Priority of the call; 0 is the most urgent.
    latency_ms : float
        Time in milliseconds that is left of the target latency; negative once it has
        passed.
    target_latency_ms : float
        Target latency of the rule in milliseconds: a later answer loses a part of its
        value.
    may_wait : bool
        Whether the call may queue for a slot.
    is_repeatable : bool
        Whether a second execution does no harm.
    version : int
        Catalogue version in force at the sender.
    attempt : int
        1 plus the number of targets that earlier attempts have reached, or may have.
    """

    incarnation: int
    target_id: str
    rule_name: str
    priority: int
    latency_ms: float
    target_latency_ms: float
    may_wait: bool
    is_repeatable: bool
    version: int = 0
    attempt: int = 1

    @property
    def is_repeat(self):
        """Whether an earlier attempt of the call may have reached a target."""
        return self.attempt > 1


def format_hop(hop):
    """Return the value of the header of a forwarded call."""
    # Releases that don't know the number of the attempt look for their letters only.
    flags = (_MAY_WAIT if hop.may_wait else "") + (
        _REPEATABLE if hop.is_repeatable else ""
    )
    if hop.is_repeat:
        flags += str(hop.attempt)
    return (
        f"{hop.incarnation} {hop.target_id} {hop.rule_name} {hop.priority} "
        f"{hop.latency_ms:.0f} {hop.target_latency_ms:.0f} "
        f"{flags or _NO_FLAG} {hop.version}"
    )


def parse_hop(value):
    """Parse the header of a forwarded call.

    Parameters
    ----------
    value : str
        Value of the header.

    Returns
    -------
    Hop or None
        None if the value is malformed.
    """
    parts = value.split(" ")
    try:
        incarnation, target_id, rule_name, priority = parts[:4]
        latency_ms, target_latency_ms, flags, version = parts[4:]
        return Hop(
            int(incarnation),
            target_id,
            rule_name,
            int(priority),
            float(latency_ms),
            float(target_latency_ms),
            _MAY_WAIT in flags,
            _REPEATABLE in flags,
            int(version),
            _parse_attempt(flags),
        )
    except ValueError:
        return None


def _parse_attempt(flags):
    digits = "".join(item for item in flags if item in string.digits)
    return int(digits) if digits else 1


def format_result(refusal, load, version):
    """Return the value of the header of the answer to a forwarded call.

    Parameters
    ----------
    refusal : Refusal or None
        None if the target answered.
    load : TargetLoad
        Load of the target.
    version : int
        Catalogue version in force at this node.

    Returns
    -------
    str
        Value of the header.
    """
    result = _ANSWERED
    if refusal is not None:
        result = f"{refusal.outcome.value}/{refusal.reason.value}/"
        result += str(refusal.retry_after_ms)
    return f"{result} {load.in_flight} {load.waiting} {load.wait_ms:.0f} {version}"


def parse_result(value):
    """Parse the header of the answer to a forwarded call.

    Parameters
    ----------
    value : str
        Value of the header.

    Returns
    -------
    refusal : Refusal or None
        None if the target answered.
    load : TargetLoad or None
        Load of the target, None if the value is malformed.
    version : int
        Catalogue version in force at the answering node, 0 if the value is malformed.
    """
    try:
        result, in_flight, waiting, wait_ms, version = value.split(" ")
        load = TargetLoad(int(in_flight), int(waiting), float(wait_ms))
        if result == _ANSWERED:
            return None, load, int(version)
        outcome, reason, retry_after_ms = result.split("/")
        refusal = Refusal(Reason(reason), Outcome(outcome), int(retry_after_ms))
    except ValueError:
        return Refusal(Reason.BAD_ANSWER, Outcome.UNKNOWN), None, 0
    return refusal, load, int(version)
