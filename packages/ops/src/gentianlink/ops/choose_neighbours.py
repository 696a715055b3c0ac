"""Choose the nodes that a node opens links to.

The links of all nodes form a connected graph: the nodes of each data centre form a
ring, and so do the data centres of each region and the regions. Further links go to
the nodes with the highest rendezvous scores, which makes the graph an expander.
"""

import heapq

import attrs

from gentianlink.ops.rank import compute_score

RING_KEY = "ring"
MAX_CACHED_SCORES = 50_000


@attrs.frozen
class LinkNumbers:
    """Numbers of links that a node opens.

    Attributes
    ----------
    inside : int
        Links to nodes of its own data centre.
    across : int
        Links to nodes of other data centres in its region.
    regions : int
        Links to nodes of other regions.
    """

    inside: int
    across: int
    regions: int


class NeighbourChooser:
    """Chooses the neighbours of one node and caches its rendezvous scores.

    Parameters
    ----------
    own : NodeRecord
        Record of the node.
    numbers : LinkNumbers
        Numbers of links that the node opens.
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
            Neighbours without duplicates.
        """
        own = self._own
        by_region = _group(nodes, _get_region)
        by_data_centre = _group(by_region.pop(own.region, ()), _get_data_centre)
        inside = by_data_centre.pop(own.data_centre, [])
        chosen = self._choose_inside(inside)
        for data_centre in self._choose_names(
            own.data_centre, by_data_centre, self._numbers.across
        ):
            chosen += self._choose_ranked(by_data_centre[data_centre], chosen, 1)
        for region in self._choose_names(own.region, by_region, self._numbers.regions):
            groups = _group(by_region[region], _get_data_centre)
            best = max(groups, key=self._get_score)
            chosen += self._choose_ranked(groups[best], chosen, 1)
        return chosen

    def _choose_inside(self, inside):
        own_id = self._own.node_id
        others = [node for node in inside if node.node_id != own_id]
        successor = self._get_successor(own_id, [node.node_id for node in others])
        chosen = [node for node in others if node.node_id == successor]
        return chosen + self._choose_ranked(others, chosen, self._numbers.inside - 1)

    def _choose_names(self, own_name, names, number):
        first = self._get_successor(own_name, names)
        others = [name for name in names if name != first]
        ranked = [first, *sorted(others, key=self._get_score, reverse=True)]
        return [ranked[index % len(ranked)] for index in range(number) if names]

    def _choose_ranked(self, nodes, chosen, number):
        names = {node.node_id for node in chosen}
        others = (node for node in nodes if node.node_id not in names)
        return heapq.nlargest(
            number, others, lambda node: self._get_score(node.node_id)
        )

    def _get_successor(self, own_name, names):
        own_position = self._get_ring_position(own_name)
        later = [name for name in names if self._get_ring_position(name) > own_position]
        return min(later or names, key=self._get_ring_position, default=None)

    def _get_ring_position(self, name):
        position = self._positions.get(name)
        if position is None:
            _clear_if_full(self._positions)
            position = (compute_score(RING_KEY, name), name)
            self._positions[name] = position
        return position

    def _get_score(self, name):
        score = self._scores.get(name)
        if score is None:
            _clear_if_full(self._scores)
            score = compute_score(self._own.node_id, name)
            self._scores[name] = score
        return score


def _group(nodes, get_name):
    groups = {}
    for node in nodes:
        groups.setdefault(get_name(node), []).append(node)
    return groups


def _get_data_centre(node):
    return node.data_centre


def _get_region(node):
    return node.region


def _clear_if_full(cache):
    if len(cache) >= MAX_CACHED_SCORES:
        cache.clear()
