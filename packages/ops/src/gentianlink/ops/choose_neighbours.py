"""Choose the nodes that a node opens links to.

All nodes together form a connected graph: the nodes of a data centre form a ring,
the data centres of a region form a ring, and so do the regions. All further links
go to nodes by rendezvous rank, which makes the graph an expander.
"""

import heapq

import attrs

from gentianlink.ops.rank import compute_score

RING_KEY = "ring"
MAX_CACHED_SCORES = 50_000


@attrs.frozen
class LinkNumbers:
    """How many links a node opens.

    Attributes
    ----------
    inside : int
        To nodes of its data centre.
    across : int
        To nodes of other data centres of its region.
    regions : int
        To nodes of other regions.
    """

    inside: int
    across: int
    regions: int


class NeighbourChooser:
    """Chooses neighbours for one node and keeps the scores that this takes.

    Parameters
    ----------
    own : NodeRecord
        Record of the node.
    numbers : LinkNumbers
        Links that it opens.
    """

    def __init__(self, own, numbers):
        self._own = own
        self._numbers = numbers
        self._positions = {}
        self._scores = {}

    def choose(self, nodes):
        """Return the nodes to open links to.

        Parameters
        ----------
        nodes : iterable of NodeRecord
            Live nodes.

        Returns
        -------
        list of NodeRecord
            Neighbours, each once.
        """
        own = self._own
        inside, across, regions = [], [], []
        for node in nodes:
            if node.region != own.region:
                regions.append(node)
            elif node.data_centre != own.data_centre:
                across.append(node)
            elif node.node_id != own.node_id:
                inside.append(node)
        numbers = self._numbers
        successor = self._get_successor(own.node_id, [node.node_id for node in inside])
        first = [node for node in inside if node.node_id == successor]
        chosen = self._choose_ranked(first, inside, numbers.inside)
        chosen += self._choose_group(across, _get_data_centre, own, numbers.across)
        chosen += self._choose_group(regions, _get_region, own, numbers.regions)
        return chosen

    def _choose_group(self, nodes, get_group, own, number):
        groups = {get_group(node) for node in nodes}
        successor = self._get_successor(get_group(own), groups)
        first = [node for node in nodes if get_group(node) == successor]
        return self._choose_ranked(first, nodes, number)

    def _choose_ranked(self, first, nodes, number):
        chosen = heapq.nlargest(min(1, number), first, key=self._get_score)
        names = {node.node_id for node in chosen}
        others = (node for node in nodes if node.node_id not in names)
        return chosen + heapq.nlargest(number - len(chosen), others, self._get_score)

    def _get_successor(self, own_name, names):
        own_position = self._get_position(own_name)
        later = [name for name in names if self._get_position(name) > own_position]
        return min(later or names, key=self._get_position, default=None)

    def _get_position(self, name):
        position = self._positions.get(name)
        if position is None:
            _bound(self._positions)
            position = (compute_score(RING_KEY, name), name)
            self._positions[name] = position
        return position

    def _get_score(self, node):
        score = self._scores.get(node.node_id)
        if score is None:
            _bound(self._scores)
            score = compute_score(self._own.node_id, node.node_id)
            self._scores[node.node_id] = score
        return score


def _get_data_centre(node):
    return node.data_centre


def _get_region(node):
    return node.region


def _bound(cache):
    if len(cache) >= MAX_CACHED_SCORES:
        cache.clear()
