"""Membership record of a node."""

import attrs

from gentianlink.core.node_state import NodeState


@attrs.frozen
class NodeRecord:
    """State and addresses of one node.

    Attributes
    ----------
    node_id : str
        Name of the node.
    incarnation : int
        Start of the process in milliseconds since the Unix epoch.
    sequence : int
        Sequence number of the record within the incarnation.
    region : str
        Region of the node.
    data_centre : str
        Data centre of the node.
    address : str
        IP address of the node.
    call_port : int
        TCP port for calls.
    mesh_port : int
        TCP port for links from other nodes.
    admin_port : int
        TCP port for the node's targets and for operators.
    state : NodeState
        State of the node.
    """

    node_id: str
    incarnation: int
    sequence: int
    region: str
    data_centre: str
    address: str
    call_port: int
    mesh_port: int
    admin_port: int
    state: NodeState = NodeState.ALIVE
