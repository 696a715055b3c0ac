"""Build the routing table from a catalogue version and the membership."""

from gentianlink.core.endpoint import Endpoint
from gentianlink.core.node_state import NodeState
from gentianlink.core.routing_table import Route, RoutingTable
from gentianlink.core.target_state import TargetState
from gentianlink.ops.membership import LIVE_STATES


def build_table(catalogue, nodes, targets, grace=(), recently_dead=()):
    """Return the routing table for a catalogue version and the membership.

    Parameters
    ----------
    catalogue : Catalogue
        Applied version.
    nodes : dict of str to NodeRecord
        Nodes by name.
    targets : dict of tuple to TargetRecord
        Targets by node, service and name.
    grace : collection of str, optional
        Dead nodes whose grace period for a refutation has not ended.
    recently_dead : collection of str, optional
        Nodes that were declared dead a short time ago.

    Returns
    -------
    RoutingTable
        One route for each entry, with the endpoints of its service.
    """
    by_service = {}
    for record in targets.values():
        by_service.setdefault(record.service, []).append(record)
    endpoints = {
        service.name: build_endpoints(
            by_service.get(service.name, ()),
            nodes,
            service.panic_threshold,
            grace,
            recently_dead,
        )
        for service in catalogue.services
    }
    return build_routes(catalogue, endpoints)


def build_routes(catalogue, endpoints):
    """Return the routing table for endpoints that are already built.

    Parameters
    ----------
    catalogue : Catalogue
        Applied version.
    endpoints : dict of str to tuple of Endpoint
        Endpoints by service.

    Returns
    -------
    RoutingTable
        One route for each entry; entries of a service share its tuple of endpoints.
    """
    services = {service.name: service for service in catalogue.services}
    routes = {}
    for entry in catalogue.entries:
        service = services[entry.service]
        routes[entry.route] = Route(
            entry, endpoints[entry.service], service.panic_threshold
        )
    return RoutingTable(catalogue.version, routes)


def build_endpoints(records, nodes, panic_threshold, grace=(), recently_dead=()):
    """Return the endpoints of one service that accept new calls.

    If the share of endpoints on live nodes is below the panic threshold, endpoints on
    recently dead nodes are kept as well: when that many nodes are declared dead at
    once, the membership view of this node is more likely wrong than the nodes are down.

    Parameters
    ----------
    records : iterable of TargetRecord
        Targets of the service.
    nodes : dict of str to NodeRecord
        Nodes by name.
    panic_threshold : float
        Share of endpoints on live nodes below which recently dead nodes are kept.
    grace : collection of str, optional
        Dead nodes whose grace period for a refutation has not ended.
    recently_dead : collection of str, optional
        Nodes that were declared dead a short time ago.

    Returns
    -------
    tuple of Endpoint
        Endpoints in the order of their names.
    """
    alive = []
    recently_lost = []
    for record in records:
        node = nodes.get(record.node_id)
        if node is None or record.incarnation != node.incarnation:
            continue
        if record.state is not TargetState.READY or node.state is NodeState.LEFT:
            continue
        if node.state in LIVE_STATES or node.node_id in grace:
            alive.append(_make_endpoint(record, node))
        elif node.node_id in recently_dead:
            recently_lost.append(_make_endpoint(record, node))
    if len(alive) < panic_threshold * (len(alive) + len(recently_lost)):
        alive.extend(recently_lost)
    return tuple(sorted(alive, key=_get_endpoint_key))


def _get_endpoint_key(endpoint):
    return endpoint.target_id, endpoint.node_id


def _make_endpoint(record, node):
    return Endpoint(
        target_id=record.target_id,
        node_id=record.node_id,
        data_centre=node.data_centre,
        address=node.address,
        call_port=node.call_port,
        state=record.state,
        slots=record.slots,
    )


def get_route(table, path):
    """Return the route whose path prefix is the longest match for a call's path.

    Parameters
    ----------
    table : RoutingTable
        Current table.
    path : str
        Path of the call without its query.

    Returns
    -------
    Route or None
        The route, None if no path prefix matches.
    """
    prefix = path
    while prefix:
        route = table.routes.get(prefix)
        if route is not None:
            return route
        prefix = prefix.rpartition("/")[0]
    return None
