"""Explain how a node would route a call, without sending the call."""

import attrs

from gentianlink.core.explanation import EndpointExplanation, Explanation
from gentianlink.core.node_state import NodeState
from gentianlink.core.reason import Reason
from gentianlink.core.target_state import TargetState
from gentianlink.ops.build_table import get_route


def explain_call(
    path, table, own_record, nodes, targets, get_load, get_ejection_reason
):
    """Return how a node would route a call.

    Parameters
    ----------
    path : str
        Path of the call without its query.
    table : RoutingTable
        Current table.
    own_record : NodeRecord
        Record of the node.
    nodes : dict of str to NodeRecord
        Nodes by name.
    targets : iterable of TargetRecord
        Targets in the membership view of the node.
    get_load : callable
        Returns the load of an endpoint.
    get_ejection_reason : callable
        Takes the name of a target and returns why the node ejected the target; empty
        if the target is not ejected.

    Returns
    -------
    Explanation
        Entry, limits, and for each endpoint why it is used or not.
    """
    route = get_route(table, path)
    if route is None:
        reason = Reason.NO_ROUTE.value
        return Explanation(own_record.node_id, path, table.version, reason)
    entry = route.entry
    used = {endpoint.target_id: endpoint for endpoint in route.endpoints}
    endpoints = tuple(
        _explain_target(target, nodes, used, get_load, get_ejection_reason)
        for target in sorted(targets, key=lambda item: item.target_id)
        if target.service == entry.service
    )
    return Explanation(
        node_id=own_record.node_id,
        path=path,
        version=table.version,
        reason="" if used else Reason.NO_TARGET.value,
        entry=entry.name,
        owner=entry.owner,
        service=entry.service,
        work_class=entry.work_class.value,
        route=entry.route,
        limits=attrs.asdict(entry.limits),
        prefer=(*entry.prefer, own_record.data_centre),
        endpoints=endpoints,
    )


def _explain_target(target, nodes, used, get_load, get_ejection_reason):
    node = nodes.get(target.node_id)
    endpoint = used.get(target.target_id)
    why = _explain_exclusion(target, node)
    if endpoint is not None:
        why = get_ejection_reason(target.target_id) or "takes new work"
    return EndpointExplanation(
        target_id=target.target_id,
        node_id=target.node_id,
        data_centre=node.data_centre if node else "",
        address=f"{node.address}:{node.call_port}" if node else "",
        state=target.state.value,
        slots=target.slots,
        load=get_load(endpoint) if endpoint else 0.0,
        is_used=endpoint is not None,
        why=why,
    )


def _explain_exclusion(target, node):
    if node is None:
        return "its node is unknown here"
    if node.state not in (NodeState.ALIVE, NodeState.SUSPECT):
        return f"its node is {node.state.value}"
    if target.incarnation != node.incarnation:
        return "its node has restarted and not announced it since"
    if target.state is not TargetState.READY:
        return f"it is {target.state.value}"
    return "not in the routing table yet"
