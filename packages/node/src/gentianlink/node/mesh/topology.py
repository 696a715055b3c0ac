"""Keep links to the neighbours that this node should have."""

from gentianlink.node.background import start_task
from gentianlink.node.mesh.dialer import run_dialer
from gentianlink.ops.rank import get_ranked


def get_neighbours(own, nodes, links_inside, links_across):
    """Return the nodes that this node opens links to.

    Parameters
    ----------
    own : NodeRecord
        Record of this node.
    nodes : list of NodeRecord
        Live nodes.
    links_inside : int
        Links to nodes of the own data centre.
    links_across : int
        Links to nodes of other data centres.

    Returns
    -------
    list of NodeRecord
        Neighbours, by rendezvous rank for this node's name.
    """
    by_id = {node.node_id: node for node in nodes if node.node_id != own.node_id}
    ranked = [by_id[node_id] for node_id in get_ranked(own.node_id, by_id)]
    inside = [node for node in ranked if node.data_centre == own.data_centre]
    across = [node for node in ranked if node.data_centre != own.data_centre]
    return inside[:links_inside] + across[:links_across]


class Topology:
    """Tasks that keep links to the chosen neighbours open.

    Parameters
    ----------
    mesh : Mesh
        Links of this node.
    membership : Membership
        Nodes to choose from.
    settings : MeshSettings
        Numbers of links and seeds.
    """

    def __init__(self, mesh, membership, settings):
        self._mesh = mesh
        self._membership = membership
        self._settings = settings
        self._dialers = {}

    def update(self, extra_addresses=()):
        """Open links to new neighbours and give up those no longer chosen.

        Parameters
        ----------
        extra_addresses : iterable of str, optional
            Addresses found on the platform, used with the seeds while alone.
        """
        own = self._membership.own_record
        neighbours = get_neighbours(
            own,
            self._membership.get_live_nodes(),
            self._settings.links_inside,
            self._settings.links_across,
        )
        wanted = {f"{node.address}:{node.mesh_port}" for node in neighbours}
        if not self._mesh.links:
            wanted.update(self._settings.seeds)
            wanted.update(extra_addresses)
        wanted.discard(f"{own.address}:{own.mesh_port}")
        for address in wanted - self._dialers.keys():
            task = start_task(run_dialer(self._mesh, address), f"dialer {address}")
            self._dialers[address] = task
        for address in self._dialers.keys() - wanted:
            self._dialers.pop(address).cancel()

    def close(self):
        """Give up all links that this node opened."""
        for task in self._dialers.values():
            task.cancel()
        self._dialers.clear()
