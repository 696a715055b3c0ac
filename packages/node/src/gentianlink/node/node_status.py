"""Status of a node for operators."""

import attrs

from gentianlink.core.target_load import TargetLoad


@attrs.frozen
class NodeStatus:
    """Status of one node.

    Attributes
    ----------
    node_id : str
        Name of the node.
    data_centre : str
        Data centre of the node.
    ready : bool
        Whether the node is ready for new calls.
    version : int
        Catalogue version in force.
    digest : str
        Digest of that version.
    applied_ms : dict of int to int
        When versions came into force, in milliseconds since the epoch.
    platform_failure : str
        Reason why the last read of the head failed; empty if it succeeded.
    latest_version : int
        Latest catalogue version received, in force or refused.
    refused : dict of int to str
        Reasons for which versions were refused.
    control_bytes : dict of str to int
        Bytes of frames between nodes by direction and kind.
    accepted_ms : dict of int to int
        When versions were accepted, in milliseconds since the epoch.
    complete_version : int
        Latest version in force on all nodes of a shard of this data centre, by the
        reports that this node collected.
    complete_ms : int
        When this node learned that, in milliseconds since the epoch.
    links : tuple of str
        Names of the neighbours that this node has links to.
    nodes : int
        Number of known live nodes.
    endpoints : dict of str to int
        Number of endpoints in the routing table by route.
    in_flight : int
        Number of calls that are being handled.
    outcomes : dict of str to int
        Numbers of calls by outcome.
    calls_by_class : dict of str to int
        Numbers of calls by class of work and outcome.
    refusals : dict of str to int
        Numbers of refused calls by reason.
    retries : int
        Number of retries: attempts after the first one of a call.
    targets : dict of str to TargetLoad
        Use of slots and queues of the targets of this node.
    records : int
        Number of live records of nodes and targets.
    records_digest : str
        Digest of these records; equal on nodes with the same membership view.
    table_builds : int
        Number of routing tables built.
    platform_reads : int
        Number of reads sent to the platform.
    platform_writes : int
        Number of writes sent to the platform.
    claims : dict of str to int
        Results of at-most-once calls by kind.
    claims_pending : dict of str to int
        Numbers of at-most-once calls and writes in progress, by kind.
    platform_bytes : int
        Number of bytes exchanged with the platform.
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
        """Time from acceptance until the version came into force here, or None."""
        return self._compute_convergence(self.version, self.applied_ms)

    @property
    def data_centre_convergence_ms(self):
        """Time from acceptance of ``complete_version`` to ``complete_ms``, or None."""
        times = {self.complete_version: self.complete_ms}
        return self._compute_convergence(self.complete_version, times)

    def _compute_convergence(self, version, times):
        if version not in self.accepted_ms or version not in times:
            return None
        return times[version] - self.accepted_ms[version]
