"""When a change came into force on a node, or why it did not."""

import attrs


@attrs.frozen
class Enforcement:
    """Time at which one node enforced a change, for the audit trail.

    Attributes
    ----------
    node_id : str
        Name of the node.
    data_centre : str
        Data centre of the node.
    when_ms : int
        When the change came into force on the node, in milliseconds since the epoch;
        0 if it did not.
    why_not : str
        Why the change did not come into force; empty if it did.
    """

    node_id: str
    data_centre: str
    when_ms: int
    why_not: str


def compute_enforcements(change, reports):
    """Return when a change came into force on each node.

    A node that applied several versions at once enforces all of them from the time at
    which it applied the last one.

    Parameters
    ----------
    change : Change
        The audit row.
    reports : sequence of NodeView
        State of every node.

    Returns
    -------
    list of Enforcement
        One for each node.
    """
    return [_compute_enforcement(change, report) for report in reports]


def _compute_enforcement(change, report):
    times = [
        when_ms
        for version, when_ms in report.applied_ms.items()
        if version >= change.version
    ]
    when_ms = min(times, default=0)
    why_not = "" if when_ms else report.explain_delay(change.version)
    node = report.node
    return Enforcement(node.node_id, node.data_centre, when_ms, why_not)
