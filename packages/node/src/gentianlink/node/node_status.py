"""What a node says of itself to operators."""

import attrs

from gentianlink.core.target_load import TargetLoad


@attrs.frozen
class NodeStatus:
    """State of one node.

    Attributes
    ----------
    node_id : str
        Name of the node.
    data_centre : str
        Data centre of the node.
    ready : bool
        Whether the node serves calls.
    version : int
        Catalogue version in force.
    digest : str
        Digest of that version.
    applied_ms : dict of int to int
        When versions came into force, in milliseconds since the epoch.
    platform_failure : str
        Why the last read of the head failed; empty if it did not.
    latest_version : int
        Latest catalogue version held, in force or refused.
    refused : dict of int to str
        Reasons for which versions were refused.
    control_bytes : dict of str to int
        Bytes of frames between nodes by direction and kind.
    accepted_ms : dict of int to int
        When versions were accepted, in milliseconds since the epoch.
    complete_version : int
        Latest version in force on every node of the data centre, as far as this
        node collected reports.
    complete_ms : int
        When that was known, in milliseconds since the epoch.
    links : tuple of str
        Neighbours.
    nodes : int
        Live nodes known.
    endpoints : dict of str to int
        Endpoints in the routing table by route.
    in_flight : int
        Calls that are being handled.
    outcomes : dict of str to int
        Numbers of calls by outcome.
    calls_by_class : dict of str to int
        Numbers of calls by class of work and outcome.
    refusals : dict of str to int
        Numbers of refused calls by reason.
    retries : int
        Further attempts after the first ones of calls.
    targets : dict of str to TargetLoad
        Use of slots and queues beside this node.
    records : int
        Live records of nodes and targets.
    records_digest : str
        Digest of these records; equal on nodes with the same view.
    table_builds : int
        Routing tables built.
    platform_reads : int
        Reads sent to the platform.
    platform_writes : int
        Writes sent to the platform.
    claims : dict of str to int
        Results of at-most-once calls by kind.
    claims_pending : dict of str to int
        At-most-once calls and writes under way.
    platform_bytes : int
        Bytes exchanged with the platform.
    """

    node_id: str
    data_centre: str
    ready: bool
    version: int
    digest: str
    applied_ms: dict[int, int]
    platform_failure: str
    latest_version: int
    refused: dict[int, str]
    control_bytes: dict[str, int]
    accepted_ms: dict[int, int]
    complete_version: int
    complete_ms: int
    links: tuple[str, ...]
    nodes: int
    endpoints: dict[str, int]
    in_flight: int
    outcomes: dict[str, int]
    calls_by_class: dict[str, int]
    refusals: dict[str, int]
    retries: int
    targets: dict[str, TargetLoad]
    records: int
    records_digest: str
    table_builds: int
    platform_reads: int
    platform_writes: int
    claims: dict[str, int]
    claims_pending: dict[str, int]
    platform_bytes: int

    @property
    def own_convergence_ms(self):
        """Time from acceptance to this node for the version in force, or None."""
        return self._compute_convergence(self.version, self.applied_ms)

    @property
    def data_centre_convergence_ms(self):
        """Time from acceptance to the last node of the data centre, or None."""
        times = {self.complete_version: self.complete_ms}
        return self._compute_convergence(self.complete_version, times)

    def _compute_convergence(self, version, times):
        if version not in self.accepted_ms or version not in times:
            return None
        return times[version] - self.accepted_ms[version]
