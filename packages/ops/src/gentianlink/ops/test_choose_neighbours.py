import collections
import random

import pytest

from gentianlink.core.node_record import NodeRecord
from gentianlink.ops.choose_neighbours import LinkNumbers, NeighbourChooser

NUMBERS = LinkNumbers(inside=2, across=1, regions=1)
MAX_LINKS_OF_A_NODE = 24


def make_nodes(data_centres, nodes_each):
    nodes = []
    for number in range(data_centres):
        for index in range(nodes_each):
            node_id = f"node-{number}-{index}"
            region = f"region-{number % 6}"
            place = (region, f"{region}-{number}", "127.0.0.1", 1, 2, 3)
            nodes.append(NodeRecord(node_id, 1, 1, *place))
    return nodes


def choose_links(nodes):
    return {
        node.node_id: [
            neighbour.node_id
            for neighbour in NeighbourChooser(node, NUMBERS).choose(nodes)
        ]
        for node in nodes
    }


def count_parts(links, alive):
    graph = collections.defaultdict(set)
    for node_id, neighbours in links.items():
        for neighbour in neighbours:
            graph[node_id].add(neighbour)
            graph[neighbour].add(node_id)
    unseen = set(alive)
    parts = 0
    while unseen:
        parts += 1
        border = [unseen.pop()]
        while border:
            found = graph[border.pop()] & unseen
            unseen -= found
            border.extend(found)
    return parts


@pytest.fixture(scope="class")
def fleet():
    nodes = make_nodes(data_centres=19, nodes_each=248)[:4700]
    return nodes, choose_links(nodes)


class TestNeighbourChooser:
    def test_fleet_is_connected(self, fleet):
        nodes, links = fleet
        assert len(nodes) == 4700
        assert count_parts(links, links) == 1

    def test_fleet_without_a_data_centre_is_connected(self, fleet):
        nodes, links = fleet
        for data_centre in {node.data_centre for node in nodes}:
            alive = {node.node_id for node in nodes if node.data_centre != data_centre}
            assert count_parts(links, alive) == 1

    def test_fleet_without_a_tenth_of_its_nodes_is_connected(self, fleet):
        nodes, links = fleet
        for seed in range(5):
            rng = random.Random(seed)
            alive = {node.node_id for node in nodes if rng.random() >= 0.1}
            left = {item: links[item] for item in alive}
            assert count_parts(left, alive) == 1

    def test_links_of_a_node_are_few(self, fleet):
        _, links = fleet
        assert {len(neighbours) for neighbours in links.values()} == {4}
        accepted = collections.Counter(
            neighbour for neighbours in links.values() for neighbour in neighbours
        )
        assert max(accepted.values()) <= MAX_LINKS_OF_A_NODE

    @pytest.mark.parametrize(
        ("data_centres", "nodes_each"), [(1, 1), (1, 2), (3, 1), (3, 4), (19, 1)]
    )
    def test_small_fleets_are_connected(self, data_centres, nodes_each):
        links = choose_links(make_nodes(data_centres, nodes_each))
        assert count_parts(links, links) == 1

    def test_agreed_views_keep_the_graph_connected_after_any_loss(self):
        nodes = make_nodes(data_centres=7, nodes_each=9)
        for seed in range(30):
            alive = random.Random(seed).sample(nodes, 20)
            links = choose_links(alive)
            assert count_parts(links, links) == 1

    def test_choice_does_not_depend_on_the_order_of_the_view(self):
        nodes = make_nodes(data_centres=7, nodes_each=3)
        chooser = NeighbourChooser(nodes[0], NUMBERS)
        assert chooser.choose(nodes) == chooser.choose(nodes[::-1])
