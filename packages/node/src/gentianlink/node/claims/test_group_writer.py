import asyncio

from gentianlink.core.errors import PlatformOutcomeUnknown, WriteConflict
from gentianlink.node.claims.group_writer import MAX_BATCH_CHARACTERS, GroupWriter
from gentianlink.testing.table_state import TableState


class RecordingTable:
    def __init__(self, failures=()):
        self.state = TableState()
        self.batches = []
        self._failures = list(failures)

    async def transact(self, puts, checks):
        self.batches.append([key for key, _ in puts])
        await asyncio.sleep(0)
        if self._failures:
            raise self._failures.pop()
        pairs = [(row.key, row.revision) for row in checks]
        conflict, revision = self.state.transact(pairs, puts)
        if conflict is not None:
            raise WriteConflict(*conflict)
        return revision


def put_all(table, max_rows, puts, value="v"):
    async def run():
        writer = GroupWriter(table, max_rows, 0)
        work = [writer.put(key, value, revision) for key, revision in puts]
        return await asyncio.gather(*work, return_exceptions=True)

    return asyncio.run(run())


class TestGroupWriter:
    def test_rows_share_a_transaction(self):
        table = RecordingTable()
        assert put_all(table, 8, [("a", 0), ("b", 0), ("c", 0)]) == [1, 1, 1]
        assert table.batches == [["a", "b", "c"]]

    def test_conflict_fails_only_its_own_row(self):
        table = RecordingTable()
        results = put_all(table, 8, [("a", 0), ("b", 7), ("c", 0)])
        assert [type(result) for result in results] == [int, WriteConflict, int]
        assert table.batches == [["a", "b", "c"], ["a", "c"]]

    def test_two_writes_of_a_row_are_never_in_one_batch(self):
        table = RecordingTable()
        results = put_all(table, 8, [("a", 0), ("a", 0)])
        assert [type(result) for result in results] == [int, WriteConflict]
        assert table.batches == [["a"], ["a"]]

    def test_lost_answer_leaves_every_row_unknown(self):
        table = RecordingTable([PlatformOutcomeUnknown("lost")])
        results = put_all(table, 8, [("a", 0), ("b", 0)])
        kinds = [type(result) for result in results]
        assert kinds == [PlatformOutcomeUnknown, PlatformOutcomeUnknown]

    def test_batches_are_bounded(self):
        table = RecordingTable()
        put_all(table, 2, [(str(number), 0) for number in range(5)])
        assert [len(batch) for batch in table.batches] == [2, 2, 1]

    def test_batches_of_large_rows_are_bounded(self):
        table = RecordingTable()
        value = "v" * (MAX_BATCH_CHARACTERS // 2)
        put_all(table, 8, [(str(number), 0) for number in range(5)], value)
        assert [len(batch) for batch in table.batches] == [2, 2, 1]
