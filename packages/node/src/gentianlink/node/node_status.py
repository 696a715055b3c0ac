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
    platform_reads : int
        Reads sent to the platform.
    platform_writes : int
        Writes sent to the platform.
    claims : dict of str to int
        Results of at-most-once calls by kind.
    claims_pending : dict of str to int
        At-most-once calls and writes under way.
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
    platform_reads: int
    platform_writes: int
    claims: dict[str, int]
    claims_pending: dict[str, int]
