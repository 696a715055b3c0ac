"""Build the routing table from a catalogue version and the membership."""

from gentianlink.core.endpoint import Endpoint
from gentianlink.core.node_state import NodeState
from gentianlink.core.routing_table import Route, RoutingTable
from gentianlink.core.target_state import TargetState

_NODE_STATES_IN_USE = (NodeState.ALIVE, NodeState.SUSPECT)


def build_table(catalogue, nodes, targets):
    """Return the routing table; it holds the endpoints themselves.

    Parameters
    ----------
    catalogue : Catalogue
        Applied version.
    nodes : dict of str to NodeRecord
        Nodes by name.
    targets : dict of tuple to TargetRecord
        Targets by service and name.

    Returns
    -------
    RoutingTable
        Routes whose endpoints are all known to this node.
    """
    endpoints = _build_endpoints(nodes, targets)
    services = {service.name: service for service in catalogue.services}
    routes = {}
    for entry in catalogue.entries:
        service = services[entry.service]
        route_endpoints = tuple(endpoints.get(entry.service, ()))
        routes[entry.route] = Route(entry, route_endpoints, service.panic_threshold)
    return RoutingTable(catalogue.version, routes)


def _build_endpoints(nodes, targets):
    endpoints = {}
    for record in targets.values():
        node = nodes.get(record.node_id)
        if node is None or node.state not in _NODE_STATES_IN_USE:
            continue
        if record.incarnation != node.incarnation:
            continue
        if record.state is not TargetState.READY:
            continue
        endpoint = Endpoint(
            target_id=record.target_id,
            node_id=record.node_id,
            data_centre=node.data_centre,
            address=node.address,
            call_port=node.call_port,
            state=record.state,
            slots=record.slots,
        )
        endpoints.setdefault(record.service, []).append(endpoint)
    return endpoints


def get_route(table, path):
    """Return the route with the longest path prefix of a call's path.

    Parameters
    ----------
    table : RoutingTable
        Current table.
    path : str
        Path of the call without its query.

    Returns
    -------
    Route or None
        The route, None if no prefix matches.
    """
    prefix = path
    while prefix:
        route = table.routes.get(prefix)
        if route is not None:
            return route
        prefix = prefix.rpartition("/")[0]
    return None
