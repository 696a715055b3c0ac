"""What a node says of itself to operators."""

import attrs


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
    records : int
        Live records of nodes and targets.
    records_digest : str
        Digest of these records; equal on nodes with the same view.
    mesh_sent_bytes : int
        Bytes of the frames sent to other nodes.
    mesh_received_bytes : int
        Bytes of the frames received from other nodes.
    table_builds : int
        Routing tables built.
    platform_reads : int
        Reads sent to the platform.
    platform_writes : int
        Writes sent to the platform.
    """

    node_id: str
    data_centre: str
    ready: bool
    version: int
    digest: str
    applied_ms: dict[int, int]
    links: tuple[str, ...]
    nodes: int
    endpoints: dict[str, int]
    in_flight: int
    outcomes: dict[str, int]
    records: int
    records_digest: str
    mesh_sent_bytes: int
    mesh_received_bytes: int
    table_builds: int
    platform_reads: int
    platform_writes: int
