"""What membership knows of one node."""

import attrs

from gentianlink.core.node_state import NodeState


@attrs.frozen
class NodeRecord:
    """One node, with its addresses.

    Attributes
    ----------
    node_id : str
        Name of the node.
    incarnation : int
        Start of the process in milliseconds since the epoch.
    sequence : int
        Number of the statement within the incarnation.
    region : str
        Region of the node.
    data_centre : str
        Data centre of the node.
    address : str
        IP number of the node.
    call_port : int
        TCP port for calls.
    mesh_port : int
        TCP port for other nodes.
    admin_port : int
        TCP port for the local target and operators.
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
