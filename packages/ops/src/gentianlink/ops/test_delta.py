import attrs
import pytest

from gentianlink.core.catalogue import Catalogue
from gentianlink.core.codec import compute_digest
from gentianlink.core.entry import Entry
from gentianlink.core.errors import DeltaMismatch, DigestMismatch
from gentianlink.core.service import Service
from gentianlink.core.work_class import WorkClass
from gentianlink.ops.delta import apply_delta, compute_delta, format_delta

INQUIRY = Service("inquiry", "branch")
REGISTRY = Service("registry", "registry")
BALANCE = Entry("balance", "branch", "inquiry", WorkClass.READ, "/balance")
BUY = Entry("buy", "registry", "registry", WorkClass.AT_MOST_ONCE, "/buy")
OLD = Catalogue(1, (INQUIRY,), (BALANCE,))
NEW = Catalogue(2, (INQUIRY, REGISTRY), (BUY,))


class TestDelta:
    def test_delta_results_in_the_new_version(self):
        delta = compute_delta(OLD, NEW)
        assert apply_delta(OLD, compute_digest(OLD), delta) == NEW

    def test_delta_from_another_version_raises_delta_mismatch(self):
        delta = compute_delta(OLD, NEW)
        other = attrs.evolve(OLD, services=(REGISTRY,))
        with pytest.raises(DeltaMismatch):
            apply_delta(other, compute_digest(other), delta)

    def test_wrong_digest_raises_digest_mismatch(self):
        delta = attrs.evolve(compute_delta(OLD, NEW), to_digest="0")
        with pytest.raises(DigestMismatch):
            apply_delta(OLD, compute_digest(OLD), delta)

    def test_formatted_delta(self):
        expected = ("+ service registry", "- entry balance", "+ entry buy")
        assert format_delta(OLD, NEW) == expected
