"""Observations of a run from outside the nodes."""

import attrs


@attrs.define
class Observations:
    """Records that the checks read.

    Attributes
    ----------
    calls : list of CallRecord
        Calls as the callers observed them.
    versions : list of VersionRecord
        Versions in force on nodes that reported to be ready.
    target_stops, node_stops : list of StopRecord
        Graceful stops.
    faults : list of tuple
        Time in milliseconds since the epoch, name of the fault and of the node.
    outages : list of tuple of int
        Start and end of each fault in milliseconds since the epoch; the bound on
        convergence is not checked meanwhile.
    ready : set of str
        Nodes that reported to be ready when last polled.
    """

    calls: list = attrs.field(factory=list)
    versions: list = attrs.field(factory=list)
    target_stops: list = attrs.field(factory=list)
    node_stops: list = attrs.field(factory=list)
    faults: list = attrs.field(factory=list)
    outages: list = attrs.field(factory=list)
    ready: set = attrs.field(factory=set)
