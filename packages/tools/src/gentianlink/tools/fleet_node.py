"""A node of the fleet and the address of its admin port."""

import attrs


@attrs.frozen
class FleetNode:
    """A node of the fleet, as the command line knows it.

    Attributes
    ----------
    node_id : str
        Name of the node.
    data_centre : str
        Data centre of the node.
    state : str
        State of the node in the membership view of the node that was asked.
    admin_url : str
        Address of its admin port.
    """

    node_id: str
    data_centre: str
    state: str
    admin_url: str
