"""Everything that was seen from outside during a run."""

import attrs


@attrs.define
class Observations:
    """Records for the checks.

    Attributes
    ----------
    calls : list of CallRecord
        What the callers saw.
    versions : list of VersionRecord
        Versions in force on nodes that said they were ready.
    target_stops, node_stops : list of StopRecord
        Graceful stops.
    faults : list of tuple
        Time in milliseconds since the epoch, fault and member.
    outages : list of tuple of int
        Start and end of faults of the platform or of nodes, during which the bound
        on convergence is not checked.
    ready : set of str
        Nodes that said they were ready when last asked.
    """

    calls: list = attrs.field(factory=list)
    versions: list = attrs.field(factory=list)
    target_stops: list = attrs.field(factory=list)
    node_stops: list = attrs.field(factory=list)
    faults: list = attrs.field(factory=list)
    outages: list = attrs.field(factory=list)
    ready: set = attrs.field(factory=set)
