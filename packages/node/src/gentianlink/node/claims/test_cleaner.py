import asyncio

from gentianlink.core.codec import decode, encode
from gentianlink.core.row import Row
from gentianlink.node.claims.claim import Claim
from gentianlink.node.claims.claim_counts import ClaimCounts
from gentianlink.node.claims.claim_state import ClaimState
from gentianlink.node.claims.cleaner import Cleaner
from gentianlink.node.claims.recorded_answer import RecordedAnswer
from gentianlink.node.claims.retention import get_claim_key
from gentianlink.testing.table_state import TableState

ANSWER = RecordedAnswer(200, (("A", "b"),), "body")


class LocalTable:
    def __init__(self):
        self.state = TableState()

    async def scan(self, prefix, after="", limit=1000):
        return [Row(*row) for row in self.state.scan(prefix, after, limit)]

    async def transact(self, puts, checks=(), deletes=()):
        pairs = [(row.key, row.revision) for row in checks]
        conflict, revision = self.state.transact(pairs, puts, deletes)
        assert conflict is None
        return revision


def make_key(time_ms):
    digits = f"{time_ms:012x}"
    return f"{digits[:8]}-{digits[8:]}-7000-8000-000000000000"


def put(table, key, claimed_ms, state=ClaimState.DONE):
    claim = Claim("d", "t", "n", 1, claimed_ms, state, ANSWER)
    table.state.transact([], [(get_claim_key(key), encode(claim).decode())])


def read_all(table):
    rows = table.state.scan("claim/", "", 1000)
    return {key: decode(value.encode(), Claim) for key, _, value in rows}


class TestCleaner:
    def test_timed_rows_are_removed_after_twice_the_retention(self):
        table = LocalTable()
        for time_ms in (0, 100, 200):
            put(table, make_key(time_ms), time_ms)
        cleaner = Cleaner(table, 100, 10, ClaimCounts())
        asyncio.run(cleaner.step(301))
        assert list(read_all(table)) == [
            get_claim_key(make_key(time_ms)) for time_ms in (200,)
        ]

    def test_rows_of_a_step_are_bounded(self):
        table = LocalTable()
        for time_ms in range(5):
            put(table, make_key(time_ms), time_ms)
        cleaner = Cleaner(table, 100, 2, ClaimCounts())
        assert asyncio.run(cleaner.step(1000)) is True
        assert len(read_all(table)) == 3

    def test_plain_rows_are_compacted_and_never_removed(self):
        table = LocalTable()
        for key in ("a", "b", "c"):
            put(table, key, 0)
        put(table, "unknown", 0, ClaimState.UNKNOWN)
        put(table, "young", 1000)
        cleaner = Cleaner(table, 100, 2, ClaimCounts())
        for _ in range(3):
            asyncio.run(cleaner.step(1000))
        kept = {key: claim.answer for key, claim in read_all(table).items()}
        compacted = RecordedAnswer(200, is_whole=False)
        assert kept == {
            "claim/plain/a": compacted,
            "claim/plain/b": compacted,
            "claim/plain/c": compacted,
            "claim/plain/unknown": ANSWER,
            "claim/plain/young": ANSWER,
        }
