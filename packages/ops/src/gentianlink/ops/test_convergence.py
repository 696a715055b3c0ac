import pytest

from gentianlink.core.convergence import Convergence
from gentianlink.core.node_record import NodeRecord
from gentianlink.core.node_report import NodeReport
from gentianlink.ops.convergence import (
    MAX_LISTED_NODES,
    compute_data_centre_convergence,
    compute_shard_convergence,
    compute_shards,
    format_convergence,
    get_shard,
    merge_shard_convergences,
    rank_collectors,
)


def make_node(node_id, data_centre="north", incarnation=1):
    return NodeRecord(node_id, incarnation, 1, "r", data_centre, "127.0.0.1", 1, 2, 3)


NORTH = [make_node("a"), make_node("b"), make_node("c")]
SOUTH = [make_node("d", "south")]


def make_reports(**versions):
    return {name: NodeReport(name, 1, version) for name, version in versions.items()}


class TestConvergence:
    def test_nodes_at_the_version_or_a_later_one_count_as_in_force(self):
        part = compute_data_centre_convergence(5, NORTH, make_reports(a=5, b=6, c=4))
        assert (part.nodes, part.in_force, part.behind) == (3, 2, ("c",))

    def test_node_without_a_report_is_behind(self):
        part = compute_data_centre_convergence(5, NORTH, make_reports(a=5))
        assert part.behind == ("b", "c")

    @pytest.mark.proves("in-force", "kill", "restart")
    def test_report_of_an_earlier_incarnation_does_not_count(self):
        restarted = [make_node("a", incarnation=2)]
        assert compute_data_centre_convergence(
            5, restarted, make_reports(a=5)
        ).behind == ("a",)

    def test_node_that_is_no_longer_live_does_not_count(self):
        part = compute_data_centre_convergence(5, NORTH[:1], make_reports(a=5, b=1))
        assert (part.nodes, part.in_force, part.behind) == (1, 1, ())

    def test_refusals_are_listed_with_their_reason(self):
        reports = {"a": NodeReport("a", 1, 4, {5: "no service"})}
        assert compute_data_centre_convergence(5, NORTH, reports).refused == {
            "a": "no service"
        }

    def test_listed_nodes_are_bounded(self):
        nodes = [make_node(f"n{number:04}") for number in range(500)]
        part = compute_data_centre_convergence(5, nodes, {})
        assert (part.nodes, len(part.behind)) == (500, MAX_LISTED_NODES)

    def test_formatted_convergence(self):
        parts = {
            "north": compute_data_centre_convergence(
                5, NORTH, make_reports(a=5, b=5, c=4)
            ),
            "south": compute_data_centre_convergence(5, SOUTH, make_reports(d=5)),
        }
        assert format_convergence(Convergence(5, parts)) == {
            "version": 5,
            "nodes": 4,
            "in_force": 3,
            "behind": ["c"],
            "complete": False,
            "data_centres": {
                "north": {"nodes": 3, "in_force": 2},
                "south": {"nodes": 1, "in_force": 1},
            },
        }

    def test_convergence_is_complete_if_all_nodes_are_in_force(self):
        part = compute_data_centre_convergence(5, NORTH, make_reports(a=5, b=5, c=5))
        assert Convergence(5, {"north": part}).is_complete
        assert not Convergence(5, {}).is_complete

    @pytest.mark.proves("in-force", "partition", "apply")
    def test_nodes_of_a_shard_without_an_answer_are_behind(self):
        part = compute_shard_convergence(NORTH, None)
        assert (part.nodes, part.in_force, part.behind) == (3, 0, ("a", "b", "c"))

    def test_node_unknown_to_the_collector_is_not_in_force(self):
        answer = compute_data_centre_convergence(5, NORTH[:2], make_reports(a=5, b=5))
        part = compute_shard_convergence(NORTH, answer)
        assert (part.nodes, part.in_force) == (3, 2)
        assert not Convergence(5, {"north": part}).is_complete

    def test_convergences_of_shards_are_merged(self):
        first = compute_data_centre_convergence(5, NORTH, make_reports(a=5, b=4, c=4))
        second = compute_data_centre_convergence(
            5, SOUTH, {"d": NodeReport("d", 1, 4, {5: "x"})}
        )
        merged = merge_shard_convergences([second, first])
        assert (merged.nodes, merged.in_force) == (4, 1)
        assert (merged.behind, merged.refused) == (("b", "c", "d"), {"d": "x"})

    def test_collectors_succeed_each_other_in_order(self):
        names = ["a", "b", "c"]
        order = rank_collectors(names, 0)
        assert sorted(order) == names
        remaining = [name for name in names if name != order[0]]
        assert rank_collectors(remaining, 0) == order[1:]

    def test_sizes_of_shards_are_bounded(self):
        assert [compute_shards(nodes) for nodes in (0, 1, 64, 65, 128, 247)] == [
            1,
            1,
            1,
            2,
            2,
            4,
        ]
        names = [f"n{number}" for number in range(247)]
        sizes = [0] * 4
        for name in names:
            sizes[get_shard(name, 4)] += 1
        assert sum(sizes) == 247
        assert max(sizes) < 100
