"""A node as the command line finds it."""

import attrs


@attrs.frozen
class FleetNode:
    """A node and the address of its admin port.

    Attributes
    ----------
    node_id : str
        Name of the node.
    data_centre : str
        Data centre of the node.
    state : str
        State of the node as membership sees it.
    admin_url : str
        Address of its admin port.
    """

    node_id: str
    data_centre: str
    state: str
    admin_url: str
