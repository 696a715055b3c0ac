import pytest

from gentianlink.core.node_record import NodeRecord
from gentianlink.core.node_report import NodeReport
from gentianlink.node.live_view import LiveView
from gentianlink.node.report_collector import ReportCollector


class FakeMembership:
    """Membership whose nodes are set by the test."""

    def __init__(self, *nodes):
        self.own_record = nodes[0]
        self.live = list(nodes)

    @property
    def nodes(self):
        return {node.node_id: node for node in self.live}

    @property
    def view_changes(self):
        return tuple(node.node_id for node in self.live)

    def get_live_nodes(self):
        return self.live


def make_node(node_id, data_centre="north", incarnation=1):
    return NodeRecord(node_id, incarnation, 1, "r", data_centre, "127.0.0.1", 1, 2, 3)


@pytest.fixture
def membership():
    return FakeMembership(make_node("a"), make_node("b"), make_node("c", "south"))


@pytest.fixture
def collector(membership):
    return ReportCollector(LiveView(membership))


class TestReportCollector:
    def test_other_data_centres_do_not_count(self, collector):
        collector.add_report(NodeReport("a", 1, 3), 0)
        state = collector.compute(3)
        assert (state.nodes, state.in_force, state.behind) == (2, 1, ("b",))

    @pytest.mark.proves("in-force", "reordered", "apply")
    def test_late_report_changes_nothing(self, collector):
        collector.add_report(NodeReport("b", 1, 3), 0)
        collector.add_report(NodeReport("b", 1, 2), 0)
        assert collector.compute(3).behind == ("a",)

    def test_restarted_node_is_behind_until_it_reports(self, collector, membership):
        collector.add_report(NodeReport("a", 1, 3), 0)
        collector.add_report(NodeReport("b", 1, 3), 0)
        membership.live[1] = make_node("b", incarnation=2)
        assert collector.compute(3).behind == ("b",)
        collector.add_report(NodeReport("b", 2, 3), 0)
        assert collector.compute(3).behind == ()

    def test_report_of_an_unknown_node_is_dropped(self, collector):
        collector.add_report(NodeReport("z", 1, 9), 0)
        assert collector.compute(1).in_force == 0

    def test_version_is_complete_with_the_last_report(self, collector):
        collector.add_report(NodeReport("a", 1, 3), 100)
        assert collector.complete_version == 0
        collector.add_report(NodeReport("b", 1, 3), 250)
        assert (collector.complete_version, collector.complete_ms) == (3, 250)
        collector.add_report(NodeReport("b", 1, 3), 900)
        assert collector.complete_ms == 250

    def test_shards_add_up(self, collector, membership):
        membership.live += [make_node(f"n{number}") for number in range(200)]
        for node in membership.live[3:150]:
            collector.add_report(NodeReport(node.node_id, 1, 3), 0)
        states = [collector.compute(3, shard, 4) for shard in range(4)]
        assert sum(state.nodes for state in states) == 202
        assert sum(state.in_force for state in states) == 147

    def test_shard_that_does_not_exist_is_empty(self, collector):
        assert collector.compute(3, 9, 4).nodes == 0

    def test_reports_of_removed_nodes_are_dropped(self, collector, membership):
        for number in range(1000):
            membership.live[1] = make_node(f"n{number}")
            collector.add_report(NodeReport(f"n{number}", 1, 3), 0)
        assert len(collector._reports) <= 2
