from gentianlink.core.codec import encode
from gentianlink.core.delta import Delta
from gentianlink.core.entry import Entry
from gentianlink.core.work_class import WorkClass
from gentianlink.node.delta_chain import MAX_CHAIN_BYTES, MAX_DELTAS, DeltaChain


def make_delta(version, entries=()):
    return Delta(version - 1, "a", version, "b", entries=entries)


class TestDeltaChain:
    def test_deltas_since_a_version(self):
        chain = DeltaChain()
        for version in (4, 5, 6):
            chain.append(make_delta(version))
        assert chain.get_since(4) == [encode(make_delta(5)), encode(make_delta(6))]
        assert chain.get_since(2) == []
        assert chain.get_since(6) == []

    def test_bounded_number(self):
        chain = DeltaChain()
        for version in range(1, MAX_DELTAS + 3):
            chain.append(make_delta(version))
        assert chain.get_since(1) == []
        assert len(chain.get_since(2)) == MAX_DELTAS

    def test_bounded_bytes(self):
        owner = "x" * (MAX_CHAIN_BYTES // 2)
        entry = Entry("balance", owner, "inquiry", WorkClass.READ, "/balance")
        chain = DeltaChain()
        for version in (1, 2):
            chain.append(make_delta(version, (entry,)))
        assert chain.get_since(0) == []
        assert len(chain.get_since(1)) == 1
