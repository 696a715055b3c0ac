import hashlib
import itertools

import attrs
import pytest

from gentianlink.core.catalogue import Catalogue
from gentianlink.core.codec import compute_digest, encode
from gentianlink.core.entry import Entry
from gentianlink.core.errors import DeltaMismatch, DigestMismatch
from gentianlink.core.service import Service
from gentianlink.core.work_class import WorkClass
from gentianlink.node.applied_catalogue import AppliedCatalogue
from gentianlink.ops.delta import compute_delta

INQUIRY = Service("inquiry", "branch")
BALANCE = Entry("balance", "branch", "inquiry", WorkClass.READ, "/balance")
INVALID_ENTRY = Entry("pay", "branch", "absent", WorkClass.READ, "/pay")
REFUSAL_REASONS = (
    "version 2: [entry pay] service: found absent; allowed: inquiry",
    "version 3: [entry pay] service: found absent; allowed: inquiry",
)


def make_version(version, *, is_invalid=False):
    entries = (attrs.evolve(BALANCE, name=f"balance-{version}"),)
    return Catalogue(version, (INQUIRY,), entries + (INVALID_ENTRY,) * is_invalid)


ONE = make_version(1)
TWO = make_version(2)
THREE = make_version(3)
INVALID_TWO = make_version(2, is_invalid=True)
INVALID_THREE = make_version(3, is_invalid=True)


def apply_snapshot(applied, catalogue):
    data = encode(catalogue)
    digest = compute_digest(catalogue)
    return applied.apply_snapshot(catalogue.version, digest, data, 1000)


def apply_deltas(applied, *catalogues):
    pairs = itertools.pairwise(catalogues)
    deltas = [compute_delta(old, new) for old, new in pairs]
    return applied.apply_deltas(deltas, 1000)


@pytest.fixture
def events():
    return []


@pytest.fixture
def applied(events):
    applied = AppliedCatalogue(
        lambda: events.append(f"applied {applied.version}"),
        lambda: events.append(f"held {applied.latest.version}"),
    )
    apply_snapshot(applied, ONE)
    events.clear()
    return applied


class TestAppliedCatalogue:
    def test_later_versions_come_into_force(self, applied, events):
        assert apply_deltas(applied, ONE, TWO)
        assert apply_snapshot(applied, THREE)
        assert applied.catalogue == THREE
        assert events == ["applied 2", "held 2", "applied 3", "held 3"]

    @pytest.mark.proves("never-back", "reordered", "apply")
    def test_older_and_equal_versions_change_nothing(self, applied, events):
        apply_snapshot(applied, THREE)
        events.clear()
        for version in (ONE, TWO, THREE):
            assert not apply_snapshot(applied, version)
        assert not apply_deltas(applied, ONE, TWO, THREE)
        assert (applied.catalogue, events) == (THREE, [])

    def test_duplicate_deltas_are_skipped(self, applied):
        apply_deltas(applied, ONE, TWO)
        assert apply_deltas(applied, ONE, TWO, THREE)
        assert applied.catalogue == THREE

    @pytest.mark.proves("all-or-none", "bad-input", "apply")
    def test_deltas_that_do_not_chain_change_nothing(self, applied, events):
        with pytest.raises(DeltaMismatch):
            apply_deltas(applied, TWO, THREE)
        broken = [compute_delta(ONE, TWO), compute_delta(INVALID_TWO, THREE)]
        with pytest.raises(DeltaMismatch):
            applied.apply_deltas(broken, 1000)
        assert (applied.catalogue, applied.latest.version, events) == (ONE, 1, [])

    def test_delta_with_a_wrong_digest_changes_nothing(self, applied):
        delta = attrs.evolve(compute_delta(ONE, TWO), to_digest="0")
        with pytest.raises(DigestMismatch):
            applied.apply_deltas([delta], 1000)
        assert (applied.catalogue, applied.refused) == (ONE, {})

    def test_corrupt_snapshot_changes_nothing(self, applied):
        data = encode(TWO).replace(b"balance-2", b"balance-9")
        with pytest.raises(DigestMismatch):
            applied.apply_snapshot(2, compute_digest(TWO), data, 1000)
        with pytest.raises(DigestMismatch):
            applied.apply_snapshot(3, compute_digest(TWO), encode(TWO), 1000)
        assert (applied.catalogue, applied.refused) == (ONE, {})

    @pytest.mark.proves("all-or-none", "bad-input", "spread")
    def test_invalid_version_is_kept_but_refused(self, applied, events):
        assert not apply_deltas(applied, ONE, INVALID_TWO)
        assert applied.catalogue == ONE
        assert applied.refused == {2: REFUSAL_REASONS[0]}
        assert events == ["held 2"]
        assert len(applied.get_deltas_since(1)) == 1

    def test_valid_version_replaces_an_invalid_one(self, applied):
        apply_deltas(applied, ONE, INVALID_TWO)
        assert apply_deltas(applied, INVALID_TWO, THREE)
        assert applied.catalogue == THREE

    def test_invalid_version_in_the_middle_of_a_chain(self, applied, events):
        assert apply_deltas(applied, ONE, INVALID_TWO, THREE)
        assert applied.catalogue == THREE
        assert applied.refused == {2: REFUSAL_REASONS[0]}
        assert events == ["applied 3", "held 3"]

    def test_valid_version_before_an_invalid_one(self, applied):
        assert apply_deltas(applied, ONE, TWO, INVALID_THREE)
        assert applied.catalogue == TWO
        assert applied.refused == {3: REFUSAL_REASONS[1]}

    def test_version_that_does_not_decode(self, applied):
        data = b'{"version":2,"later":true}'
        digest = hashlib.sha256(data).hexdigest()
        assert not applied.apply_snapshot(2, digest, data, 1000)
        assert applied.refused == {2: "the content does not decode"}
        assert apply_snapshot(applied, THREE)

    def test_earlier_valid_snapshot_after_a_refused_one(self, applied):
        apply_snapshot(applied, INVALID_THREE)
        assert apply_snapshot(applied, TWO)
        assert (applied.version, applied.latest.version) == (2, 3)

    def test_not_current_before_the_head_was_read(self, applied):
        assert not applied.is_current
        applied.set_required_version(2)
        assert not applied.is_current
        apply_snapshot(applied, TWO)
        assert applied.is_current
        applied.set_required_version(9)
        assert applied.is_current

    def test_current_if_all_versions_up_to_the_head_were_refused(self, applied):
        applied.set_required_version(3)
        apply_snapshot(applied, INVALID_THREE)
        assert not applied.is_current
        apply_snapshot(applied, TWO)
        assert applied.is_current
