"""Live nodes by data centre and their ranks, kept until the set of them changes."""

from gentianlink.ops.convergence import compute_shards, get_shard, rank_collectors


class LiveView:
    """What is derived from the set of live nodes, computed once for each set.

    Parameters
    ----------
    membership : Membership
        Nodes of the mesh.
    """

    def __init__(self, membership):
        self._membership = membership
        self._seen_changes = None
        self._names = {}
        self._kept = {}

    @property
    def own_data_centre(self):
        """Data centre of this node."""
        return self._membership.own_record.data_centre

    @property
    def data_centres(self):
        """Names of the data centres that have live nodes, in order."""
        self._refresh()
        return sorted(self._names)

    def get_names(self, data_centre):
        """Return the names of the live nodes of a data centre."""
        self._refresh()
        return self._names.get(data_centre, ())

    def get_node(self, node_id):
        """Return the present record of a node."""
        return self._membership.nodes[node_id]

    def get_own_shard(self):
        """Return the number of this node's shard."""
        shards = compute_shards(len(self.get_names(self.own_data_centre)))
        return get_shard(self._membership.own_record.node_id, shards)

    def get_shards(self, data_centre):
        """Return the names of the live nodes of a data centre in their shards.

        Parameters
        ----------
        data_centre : str
            The data centre.

        Returns
        -------
        list of list of str
            Names by number of the shard.
        """
        names = self.get_names(data_centre)
        return self.get_shards_of(data_centre, compute_shards(len(names)))

    def get_shards_of(self, data_centre, shards):
        """Return the names of live nodes for a given number of shards."""
        names = self.get_names(data_centre)
        return self._keep(
            ("shards", data_centre, shards), lambda: _divide(names, shards)
        )

    def get_collectors(self, data_centre, shard):
        """Return the names of nodes in the order in which they collect for a shard.

        Parameters
        ----------
        data_centre : str
            The data centre.
        shard : int
            Number of the shard.

        Returns
        -------
        list of str
            The collector comes first.
        """
        names = self.get_names(data_centre)
        return self._keep(
            ("collectors", data_centre, shard), lambda: rank_collectors(names, shard)
        )

    def _keep(self, key, compute):
        if key not in self._kept:
            self._kept[key] = compute()
        return self._kept[key]

    def _refresh(self):
        changes = self._membership.view_changes
        if changes == self._seen_changes:
            return
        self._seen_changes = changes
        self._kept = {}
        self._names = {}
        for node in self._membership.get_live_nodes():
            self._names.setdefault(node.data_centre, []).append(node.node_id)


def _divide(names, shards):
    parts = [[] for _ in range(shards)]
    for name in names:
        parts[get_shard(name, shards)].append(name)
    return parts
