import itertools

import attrs
import pytest

from gentianlink.core.node_record import NodeRecord
from gentianlink.core.node_state import NodeState
from gentianlink.ops.membership import (
    compute_node_hash,
    compute_node_order,
    is_newer,
    refute,
)

OWN = NodeRecord("a", 100, 3, "r", "r-1", "127.0.0.1", 1, 2, 3)


class TestMembershipOrder:
    def test_later_incarnation_then_sequence_then_state_wins(self):
        ordered = [
            OWN,
            attrs.evolve(OWN, state=NodeState.SUSPECT),
            attrs.evolve(OWN, state=NodeState.DEAD),
            attrs.evolve(OWN, state=NodeState.LEFT),
            attrs.evolve(OWN, sequence=4),
            attrs.evolve(OWN, incarnation=101, sequence=1),
        ]
        for earlier, later in itertools.combinations(ordered, 2):
            assert is_newer(earlier, later, compute_node_order)
            assert not is_newer(later, earlier, compute_node_order)

    def test_different_records_never_compare_equal(self):
        other = attrs.evolve(OWN, call_port=9)
        assert compute_node_order(other) != compute_node_order(OWN)
        assert compute_node_hash(other) != compute_node_hash(OWN)

    @pytest.mark.parametrize(
        ("received", "expected"),
        [
            (OWN, OWN),
            (attrs.evolve(OWN, sequence=2, state=NodeState.DEAD), OWN),
            (
                attrs.evolve(OWN, state=NodeState.SUSPECT),
                attrs.evolve(OWN, sequence=4),
            ),
            (
                attrs.evolve(OWN, sequence=7, state=NodeState.DEAD),
                attrs.evolve(OWN, sequence=8),
            ),
            (
                attrs.evolve(OWN, incarnation=500, sequence=9, state=NodeState.LEFT),
                attrs.evolve(OWN, incarnation=501, sequence=1),
            ),
        ],
    )
    def test_refutation_supersedes_the_received_record(self, received, expected):
        assert refute(OWN, received) == expected
