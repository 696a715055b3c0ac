import attrs

from gentianlink.platform.table_client import RowChange
from gentianlink.sidecar.quarantine import QuarantinedRequest
from gentianlink.sidecar.quarantine_codec import encode_request, get_key
from gentianlink.sidecar.quarantine_rows import QuarantineRows

REQUEST = QuarantinedRequest("ab", ("cd",), (("i-1", 1), ("i-2", 2)))
KEY = get_key(REQUEST)
ROW = RowChange(KEY, 5, encode_request(REQUEST).encode(), False)


class TestQuarantineRows:
    def make(self):
        self.stored, self.lifted = [], []
        return QuarantineRows(self.stored.append, self.lifted.append)

    def test_request_is_due_until_its_row_is_written(self):
        rows = self.make()
        rows.put(REQUEST)
        assert rows.due == [(KEY, encode_request(REQUEST))]
        rows.note_written(rows.due)
        assert rows.due == []

    def test_row_that_changes_while_it_is_written_is_written_again(self):
        rows = self.make()
        rows.put(REQUEST)
        due = rows.due
        wider = attrs.evolve(REQUEST, callers=())
        rows.put(wider)
        rows.note_written(due)
        assert rows.due == [(KEY, encode_request(wider))]

    def test_row_of_a_request_that_a_target_completed_is_removed(self):
        rows = self.make()
        rows.put(REQUEST)
        rows.note_written(rows.due)
        rows.remove(REQUEST)
        assert (rows.due, rows.superseded) == ([], [KEY])
        rows.note_read([ROW], True)
        assert self.stored == []
        rows.note_written([], rows.superseded)
        assert rows.superseded == []

    def test_request_that_is_quarantined_again_is_written_again(self):
        rows = self.make()
        rows.remove(REQUEST)
        rows.put(REQUEST)
        assert (len(rows.due), rows.superseded) == (1, [])

    def test_row_of_another_node_is_loaded_once(self):
        rows = self.make()
        rows.note_read([ROW], True)
        rows.note_read([ROW], True)
        assert self.stored == [REQUEST]

    def test_removed_row_lifts_the_quarantine(self):
        rows = self.make()
        rows.put(REQUEST)
        rows.note_written(rows.due)
        rows.note_read([RowChange(KEY, 6, b"", True)], False)
        assert self.lifted == ["ab"]
        assert rows.due == []

    def test_row_that_came_and_went_between_two_reads_lifts_the_quarantine(self):
        rows = self.make()
        rows.note_read([RowChange(KEY, 6, b"", True)], False)
        assert self.lifted == ["ab"]

    def test_row_that_is_missing_in_a_whole_read_lifts_the_quarantine(self):
        rows = self.make()
        rows.note_read([ROW], True)
        rows.note_read([], True)
        assert self.lifted == ["ab"]

    def test_row_that_is_not_written_yet_is_not_missing(self):
        rows = self.make()
        rows.put(REQUEST)
        rows.note_read([], True)
        assert self.lifted == []
        assert rows.due != []

    def test_row_that_a_restore_has_lost_is_written_again(self):
        rows = self.make()
        rows.put(REQUEST)
        rows.note_written(rows.due)
        rows.note_restored()
        rows.note_read([], False)
        assert self.lifted == []
        assert rows.due == [(KEY, encode_request(REQUEST))]

    def test_unreadable_row_is_skipped(self):
        rows = self.make()
        for value in (b"{", b"[]", b'{"content": "a"}', b"\xff"):
            rows.note_read([RowChange(KEY, 5, value, False)], False)
        assert self.stored == []
