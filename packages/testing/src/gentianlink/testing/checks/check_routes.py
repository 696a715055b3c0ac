"""Check of routes against the services and targets that a node has."""

from gentianlink.testing.checks.violation import Violation


def check_routes(node_id, routes, services, targets):
    """Return a violation for each route to a service or target that the node lacks.

    Parameters
    ----------
    node_id : str
        Name of the node.
    routes : dict of str to tuple
        Service and names of its endpoints by route.
    services : collection of str
        Services that the node has.
    targets : collection of str
        Targets that the node has.

    Returns
    -------
    list of Violation
        Empty if the node has every service and target of its routes.
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
