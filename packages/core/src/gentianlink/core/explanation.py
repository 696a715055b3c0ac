"""What a node would do with a call, for operators."""

import attrs


@attrs.frozen
class EndpointExplanation:
    """One target of the route's service, and whether a call may go to it.

    Attributes
    ----------
    target_id : str
        Name of the target.
    node_id : str
        Node beside the target.
    data_centre : str
        Data centre of that node; empty if the node is unknown.
    address : str
        Address for calls; empty if the node is unknown.
    state : str
        State that the target announced.
    slots : int
        Calls that the target executes at once.
    load : float
        Outstanding calls for each slot, as this node sees it.
    is_used : bool
        Whether the routing table holds the endpoint.
    why : str
        Why the endpoint is used or avoided.
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
    """What a node would do with a call.

    Attributes
    ----------
    node_id : str
        Node that was asked.
    path : str
        Path of the call.
    version : int
        Catalogue version in force.
    reason : str
        Reason for which the call would be refused now; empty if it would be sent.
    entry, owner, service, work_class, route : str
        The entry that matches; empty if none does.
    limits : dict of str to float
        Limits of the entry.
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
