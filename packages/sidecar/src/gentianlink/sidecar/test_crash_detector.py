import pytest
from tornado.httputil import HTTPHeaders

from gentianlink.core.target_state import TargetState
from gentianlink.node.proxy.call import Call
from gentianlink.node.proxy.request_body import RequestBody
from gentianlink.platform import wire
from gentianlink.platform.heartbeat_codec import Heartbeat
from gentianlink.sidecar.call_fingerprint import HEAD_BYTES, compute_fingerprint
from gentianlink.sidecar.crash_detector import ABANDONED_MS, CrashDetector
from gentianlink.sidecar.local_target import LocalTarget


def make_call(request_id="id-1", target="/read/1", body=b"", stream=None, **headers):
    values = {"Host": "shop.example", wire.REQUEST_ID: request_id} | headers
    return Call("POST", target, HTTPHeaders(values), body, 0.0, stream=stream)


class TestFingerprint:
    def test_repeated_request_has_the_same_fingerprint_under_another_id(self):
        first = compute_fingerprint(make_call("id-1", body=b"x"))
        assert compute_fingerprint(make_call("id-2", body=b"x")) == first

    @pytest.mark.parametrize(
        "changes",
        [
            {"target": "/read/2"},
            {"target": "/read/1?page=2"},
            {"body": b"y"},
            {"Host": "other.example"},
        ],
    )
    def test_other_content_has_another_fingerprint(self, changes):
        other = make_call(**changes)
        assert compute_fingerprint(other) != compute_fingerprint(make_call())

    def test_streamed_body_has_the_fingerprint_of_the_buffered_one(self):
        body = bytes(range(256)) * 1024
        streamed = make_call(stream=RequestBody(body[: HEAD_BYTES + 100]))
        buffered = make_call(body=body)
        assert compute_fingerprint(streamed) == compute_fingerprint(buffered)


class TestCrashDetector:
    def begin(self, detector, *request_ids, now_ms=0.0):
        return [detector.begin(make_call(item), now_ms) for item in request_ids]

    def take_ids(self, detector):
        return sorted(item.request_id for item in detector.take_crash())

    def test_crash_names_the_calls_in_flight_once(self):
        detector = CrashDetector()
        lost, _running, answered = self.begin(detector, "lost", "running", "answered")
        detector.note_answered(answered)
        detector.note_lost(lost, 10.0)
        assert self.take_ids(detector) == ["lost", "running"]
        assert self.take_ids(detector) == []

    def test_end_without_lost_calls_is_no_crash(self):
        detector = CrashDetector()
        self.begin(detector, "running")
        assert self.take_ids(detector) == []

    def test_answer_to_a_later_call_shows_that_the_process_runs(self):
        detector = CrashDetector()
        lost, before = self.begin(detector, "lost", "before")
        detector.note_lost(lost, 10.0)
        detector.note_answered(before)
        [later] = self.begin(detector, "later", now_ms=20.0)
        detector.note_answered(later)
        assert self.take_ids(detector) == []

    def test_calls_are_in_the_order_in_which_they_were_sent(self):
        detector = CrashDetector()
        sent = [detector.begin(make_call(f"id-{n}"), float(n)) for n in range(4)]
        detector.note_lost(sent[2], 10.0)
        detector.note_abandoned(sent[3], 10.0)
        detector.note_lost(sent[0], 10.0)
        calls = [item.request_id for item in detector.take_crash()]
        assert calls == ["id-0", "id-1", "id-2", "id-3"]

    def test_refusal_by_the_next_process_does_not_hide_the_crash(self):
        detector = CrashDetector()
        [lost] = self.begin(detector, "lost")
        detector.note_lost(lost, 10.0)
        [refused] = self.begin(detector, "refused", now_ms=20.0)
        detector.note_not_executed(refused)
        assert detector.has_lost_calls
        assert self.take_ids(detector) == ["lost"]

    def test_answer_that_was_sent_before_the_crash_shows_nothing(self):
        detector = CrashDetector()
        lost, before = self.begin(detector, "lost", "before")
        detector.note_lost(lost, 10.0)
        detector.note_answered(before)
        assert self.take_ids(detector) == ["lost"]

    def test_call_abandoned_shortly_before_the_crash_is_named(self):
        detector = CrashDetector()
        old, recent, lost = self.begin(detector, "old", "recent", "lost")
        detector.note_abandoned(old, 0.0)
        detector.note_abandoned(recent, 100.0)
        detector.note_lost(lost, ABANDONED_MS)
        assert self.take_ids(detector) == ["lost", "recent"]


class TestCrashOfLocalTarget:
    def make(self):
        self.crashes = []
        target = LocalTarget("10.0.0.1:1", lambda: None, self._note)
        target.handle_heartbeat(self.make_heartbeat(1), 0.0, 0)
        return target

    def _note(self, info, calls):
        self.crashes.append((info.started_ms, [item.request_id for item in calls]))

    def make_heartbeat(self, started_ms, is_draining=False, sequence=1):
        return Heartbeat(
            target_id="i-1",
            service="inquiry",
            address="10.0.0.1:1",
            slots=4,
            is_draining=is_draining,
            cold_ms=0.0,
            sequence=sequence,
            started_ms=started_ms,
        )

    def lose_call(self, target):
        detector = target.crash_detector
        detector.note_lost(detector.begin(make_call(), 1.0), 2.0)

    def test_refused_connection_after_a_lost_call_is_a_crash(self):
        target = self.make()
        self.lose_call(target)
        target.note_unreachable(3.0)
        assert self.crashes == [(1, ["id-1"])]

    def test_new_process_after_a_lost_call_is_a_crash_reported_once(self):
        target = self.make()
        self.lose_call(target)
        target.handle_heartbeat(self.make_heartbeat(2), 3.0, 0)
        target.handle_heartbeat(self.make_heartbeat(3), 4.0, 0)
        assert self.crashes == [(1, ["id-1"])]

    def test_refused_connection_without_a_lost_call_is_no_crash(self):
        target = self.make()
        target.note_unreachable(3.0)
        assert self.crashes == []

    def test_end_of_a_target_that_leaves_is_no_crash(self):
        target = self.make()
        leaving = self.make_heartbeat(1, is_draining=True, sequence=2)
        target.handle_heartbeat(leaving, 0.0, 0)
        assert target.info.state is TargetState.DRAINING
        self.lose_call(target)
        target.note_unreachable(3.0)
        assert self.crashes == []
