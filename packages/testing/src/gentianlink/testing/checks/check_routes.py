"""Check of routes against the endpoints that a node holds."""

from gentianlink.testing.checks.violation import Violation


def check_routes(node_id, routes, services, targets):
    """Return a violation for each route to something that the node doesn't have.

    Parameters
    ----------
    node_id : str
        Name of the node.
    routes : dict of str to tuple
        Service and names of the endpoints by route.
    services : collection of str
        Services that the node has.
    targets : collection of str
        Targets that the node has.

    Returns
    -------
    list of Violation
        Empty if no route dangles.
    """
    violations = []
    for route, (service, endpoints) in sorted(routes.items()):
        if service not in services:
            detail = f"{route} points at service {service}"
            violations.append(Violation("no-dangling-route", node_id, detail))
        for endpoint in endpoints:
            if endpoint not in targets:
                detail = f"{route} points at endpoint {endpoint}"
                violations.append(Violation("no-dangling-route", node_id, detail))
    return violations
