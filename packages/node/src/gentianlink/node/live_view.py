"""Live nodes by data centre and their ranks, cached until the set changes."""

from gentianlink.ops.convergence import compute_shards, get_shard, rank_collectors


class LiveView:
    """Caches what is computed from the set of live nodes.

    Parameters
    ----------
    membership : Membership
        Nodes of the mesh.
    """

    def __init__(self, membership):
        self._membership = membership
        self._cached_changes = None
        self._names = {}
        self._cache = {}

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
        """Return the current record of a node."""
        return self._membership.nodes[node_id]

    def get_own_shard(self):
        """Return the number of this node's shard."""
        shards = compute_shards(len(self.get_names(self.own_data_centre)))
        return get_shard(self._membership.own_record.node_id, shards)

    def get_shards(self, data_centre):
        """Return the names of the live nodes of a data centre by shard.

        Parameters
        ----------
        data_centre : str
            The data centre.

        Returns
        -------
        list of list of str
            List of names for each shard, by its number.
        """
        names = self.get_names(data_centre)
        return self.get_shards_of(data_centre, compute_shards(len(names)))

    def get_shards_of(self, data_centre, shards):
        """Return the names of live nodes for a given number of shards."""
        names = self.get_names(data_centre)
        return self._get_cached(
            ("shards", data_centre, shards), lambda: _split_into_shards(names, shards)
        )

    def get_collectors(self, data_centre, shard):
        """Return the names of nodes by their rank as report collector of a shard.

        Parameters
        ----------
        data_centre : str
            The data centre.
        shard : int
            Number of the shard.

        Returns
        -------
        list of str
            The first one is the collector.
        """
        names = self.get_names(data_centre)
        return self._get_cached(
            ("collectors", data_centre, shard), lambda: rank_collectors(names, shard)
        )

    def _get_cached(self, key, compute):
        if key not in self._cache:
            self._cache[key] = compute()
        return self._cache[key]

    def _refresh(self):
        changes = self._membership.view_changes
        if changes == self._cached_changes:
            return
        self._cached_changes = changes
        self._cache = {}
        self._names = {}
        for node in self._membership.get_live_nodes():
            self._names.setdefault(node.data_centre, []).append(node.node_id)


def _split_into_shards(names, shards):
    parts = [[] for _ in range(shards)]
    for name in names:
        parts[get_shard(name, shards)].append(name)
    return parts
