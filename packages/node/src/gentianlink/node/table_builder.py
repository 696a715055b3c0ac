"""Incremental builds of the routing table."""

from gentianlink.core.routing_table import RoutingTable
from gentianlink.ops.build_table import build_endpoints, build_routes


class TableBuilder:
    """Builds the routing table from the catalogue in force and the membership view.

    A build covers all changes since the previous build, and rebuilds the endpoints of
    changed services only.

    Parameters
    ----------
    membership : Membership
        Nodes and targets.
    """

    def __init__(self, membership):
        self._membership = membership
        self._catalogue = None
        self._endpoints = {}
        self._table = RoutingTable()
        self._builds = 0

    @property
    def table(self):
        """Table of the last build."""
        return self._table

    @property
    def builds(self):
        """Number of tables built."""
        return self._builds

    def build(self, catalogue):
        """Rebuild the table if anything changed.

        Parameters
        ----------
        catalogue : Catalogue
            Version in force.

        Returns
        -------
        RoutingTable
            Table of that version and the current membership view.
        """
        changed_names = self._membership.take_changed_services()
        if catalogue is self._catalogue and not changed_names:
            return self._table
        self._endpoints = self._build_endpoints(catalogue, changed_names)
        self._table = build_routes(catalogue, self._endpoints)
        self._catalogue = catalogue
        self._builds += 1
        return self._table

    def _build_endpoints(self, catalogue, changed_names):
        former = {}
        if self._catalogue is not None:
            former = {item.name: item for item in self._catalogue.services}
        endpoints = {}
        for service in catalogue.services:
            name = service.name
            if name in changed_names or former.get(name) != service:
                endpoints[name] = self._build_service(service)
            else:
                endpoints[name] = self._endpoints[name]
        return endpoints

    def _build_service(self, service):
        return build_endpoints(
            self._membership.get_targets_of_service(service.name),
            self._membership.nodes,
            service.panic_threshold,
            self._membership.grace,
            self._membership.recently_dead,
        )
