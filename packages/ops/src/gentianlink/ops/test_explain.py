from gentianlink.core.catalogue import Catalogue
from gentianlink.core.entry import Entry
from gentianlink.core.explanation import Explanation
from gentianlink.core.node_record import NodeRecord
from gentianlink.core.node_state import NodeState
from gentianlink.core.service import Service
from gentianlink.core.target_record import TargetRecord
from gentianlink.core.target_state import TargetState
from gentianlink.core.work_class import WorkClass
from gentianlink.ops.build_table import build_table
from gentianlink.ops.explain import explain_call

CATALOGUE = Catalogue(
    version=3,
    services=(Service("inquiry", "branch"),),
    entries=(
        Entry(
            "balance", "branch", "inquiry", WorkClass.READ, "/inquiry", prefer=("b",)
        ),
    ),
)


def make_node(node_id, state=NodeState.ALIVE, incarnation=1):
    return NodeRecord(node_id, incarnation, 1, "k", "k-1", "127.0.0.1", 7, 8, 9, state)


def make_target(number, node_id, state=TargetState.READY):
    return TargetRecord("inquiry", f"t{number}", node_id, 1, 1, state, 10)


OWN = make_node("n1")


def explain(path, targets, nodes=(OWN,), avoidances=None):
    by_id = {node.node_id: node for node in nodes}
    records = {(item.service, item.target_id): item for item in targets}
    table = build_table(CATALOGUE, by_id, records)
    return explain_call(
        path,
        table,
        OWN,
        by_id,
        targets,
        lambda endpoint: 0.5,
        lambda target_id: (avoidances or {}).get(target_id, ""),
    )


class TestExplain:
    def test_no_route(self):
        assert explain("/other", []) == Explanation("n1", "/other", 3, "no-route")

    def test_entry_without_targets(self):
        explanation = explain("/inquiry/balance", [])
        assert explanation.reason == "no-target"
        assert explanation.entry == "balance"
        assert explanation.work_class == "read"
        assert explanation.limits["deadline_ms"] == 1000
        assert explanation.prefer == ("b", "k-1")

    def test_why_each_endpoint_is_used_or_avoided(self):
        nodes = (
            OWN,
            make_node("n2", NodeState.DEAD),
            make_node("n3", incarnation=2),
        )
        targets = [
            make_target(1, "n1"),
            make_target(2, "n1", TargetState.DRAINING),
            make_target(3, "n2"),
            make_target(4, "n3"),
            make_target(5, "n4"),
            make_target(6, "n1"),
        ]
        avoidances = {"t6": "avoided after a failed call"}
        explanation = explain("/inquiry", targets, nodes, avoidances)
        assert explanation.reason == ""
        assert [
            (item.target_id, item.is_used, item.load, item.why)
            for item in explanation.endpoints
        ] == [
            ("t1", True, 0.5, "takes new work"),
            ("t2", False, 0.0, "it is draining"),
            ("t3", False, 0.0, "its node is dead"),
            ("t4", False, 0.0, "its node has restarted and not announced it since"),
            ("t5", False, 0.0, "its node is unknown here"),
            ("t6", True, 0.5, "avoided after a failed call"),
        ]
