import collections
import random

import pytest

from gentianlink.core.node_record import NodeRecord
from gentianlink.ops.choose_neighbours import LinkNumbers, NeighbourChooser

NUMBERS = LinkNumbers(inside=2, across=1, regions=1)
MAX_ACCEPTED_LINKS = 24


def make_nodes(data_centres, nodes_each):
    nodes = []
    for number in range(data_centres):
        for index in range(nodes_each):
            node_id = f"node-{number}-{index}"
            region = f"region-{number % 6}"
            fields = (region, f"{region}-{number}", "127.0.0.1", 1, 2, 3)
            nodes.append(NodeRecord(node_id, 1, 1, *fields))
    return nodes


def choose_links(nodes):
    return {
        node.node_id: [
            neighbour.node_id
            for neighbour in NeighbourChooser(node, NUMBERS).choose(nodes)
        ]
        for node in nodes
    }


def count_components(links, alive):
    graph = collections.defaultdict(set)
    for node_id, neighbours in links.items():
        for neighbour in neighbours:
            graph[node_id].add(neighbour)
            graph[neighbour].add(node_id)
    unvisited = set(alive)
    components = 0
    while unvisited:
        components += 1
        frontier = [unvisited.pop()]
        while frontier:
            found = graph[frontier.pop()] & unvisited
            unvisited -= found
            frontier.extend(found)
    return components


@pytest.fixture(scope="class")
def fleet():
    nodes = make_nodes(data_centres=19, nodes_each=248)[:4700]
    return nodes, choose_links(nodes)


class TestNeighbourChooser:
    def test_fleet_is_connected(self, fleet):
        nodes, links = fleet
        assert len(nodes) == 4700
        assert count_components(links, links) == 1

    def test_fleet_without_a_data_centre_is_connected(self, fleet):
        nodes, links = fleet
        for data_centre in {node.data_centre for node in nodes}:
            alive = {node.node_id for node in nodes if node.data_centre != data_centre}
            assert count_components(links, alive) == 1

    def test_fleet_without_a_tenth_of_its_nodes_is_connected(self, fleet):
        nodes, links = fleet
        for seed in range(5):
            rng = random.Random(seed)
            alive = {node.node_id for node in nodes if rng.random() >= 0.1}
            remaining = {item: links[item] for item in alive}
            assert count_components(remaining, alive) == 1

    def test_links_per_node_are_bounded(self, fleet):
        _, links = fleet
        assert {len(neighbours) for neighbours in links.values()} == {4}
        accepted = collections.Counter(
            neighbour for neighbours in links.values() for neighbour in neighbours
        )
        assert max(accepted.values()) <= MAX_ACCEPTED_LINKS

    @pytest.mark.parametrize(
        ("data_centres", "nodes_each"), [(1, 1), (1, 2), (3, 1), (3, 4), (19, 1)]
    )
    def test_small_fleets_are_connected(self, data_centres, nodes_each):
        links = choose_links(make_nodes(data_centres, nodes_each))
        assert count_components(links, links) == 1

    def test_graph_is_connected_if_the_nodes_agree_on_the_survivors(self):
        nodes = make_nodes(data_centres=7, nodes_each=9)
        for seed in range(30):
            alive = random.Random(seed).sample(nodes, 20)
            links = choose_links(alive)
            assert count_components(links, links) == 1

    def test_choice_does_not_depend_on_the_order_of_the_nodes(self):
        nodes = make_nodes(data_centres=7, nodes_each=3)
        chooser = NeighbourChooser(nodes[0], NUMBERS)
        assert chooser.choose(nodes) == chooser.choose(nodes[::-1])
