"""Explanation for operators of how a node would route a call."""

import attrs


@attrs.frozen
class EndpointExplanation:
    """One target of the route's service, and whether it may receive a call.

    Attributes
    ----------
    target_id : str
        Name of the target.
    node_id : str
        Node that forwards calls to the target.
    data_centre : str
        Data centre of that node; empty if the node is unknown.
    address : str
        Address of that node for calls; empty if the node is unknown.
    state : str
        State that the target announced.
    slots : int
        Number of calls that the target executes concurrently.
    load : float
        Outstanding calls per slot, as seen by the node that was asked.
    is_used : bool
        Whether the routing table contains the endpoint.
    why : str
        Reason for using or avoiding the endpoint.
    """

    target_id: str
    node_id: str
    data_centre: str
    address: str
    state: str
    slots: int
    load: float
    is_used: bool
    why: str


@attrs.frozen
class Explanation:
    """How a node would route a call.

    Attributes
    ----------
    node_id : str
        Node that was asked.
    path : str
        Path of the call.
    version : int
        Catalogue version in force.
    reason : str
        Reason for refusing the call; empty if it would be sent to a target.
    entry, owner, service, work_class, route : str
        Fields of the entry whose route matches; empty if none does.
    limits : dict of str to float
        Limits of the entry, by name.
    prefer : tuple of str
        Data centres in the order of preference.
    endpoints : tuple of EndpointExplanation
        Targets of the service.
    """

    node_id: str
    path: str
    version: int
    reason: str
    entry: str = ""
    owner: str = ""
    service: str = ""
    work_class: str = ""
    route: str = ""
    limits: dict[str, float] = attrs.field(factory=dict)
    prefer: tuple[str, ...] = ()
    endpoints: tuple[EndpointExplanation, ...] = ()
