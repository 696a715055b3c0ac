"""Decisions of a node that need no network: splitting, retries, admission, codecs."""

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gentianlink.core.bounds import Bounds
from gentianlink.core.errors import CodecError
from gentianlink.core.heartbeat import Heartbeat
from gentianlink.core.outcome import Outcome
from gentianlink.core.reason import Reason
from gentianlink.core.rule import Rule
from gentianlink.core.service_weight import ServiceWeight
from gentianlink.core.target_state import TargetState
from gentianlink.node.proxy.refusal import Refusal
from gentianlink.sidecar.admission import waiting_time as admission
from gentianlink.sidecar.callers.caller_answer import format_retry_after, get_status
from gentianlink.sidecar.callers.caller_retry_estimator import CallerRetryEstimator
from gentianlink.sidecar.exchange.peer_codec import (
    decode_message,
    decode_record,
    encode_message,
    encode_record,
)
from gentianlink.sidecar.exchange.peer_message import PeerMessage
from gentianlink.sidecar.hop import (
    Hop,
    format_hop,
    format_result,
    parse_hop,
    parse_result,
)
from gentianlink.sidecar.local_target import LocalTarget
from gentianlink.sidecar.peer_directory import PeerDirectory
from gentianlink.sidecar.peer_record import PeerRecord
from gentianlink.sidecar.routing.choose import MAX_FULL, Candidate, choose_target
from gentianlink.sidecar.routing.load_view import LoadView
from gentianlink.sidecar.splitter import Splitter
from gentianlink.sidecar.target_info import TargetInfo
from gentianlink.sidecar.target_load import TargetLoad

SERVICE = "inquiry"
BOUNDS = Bounds(
    retry_ratio=0.2, retry_window_ms=10_000.0, retry_extra=60.0, grace_ms=6000.0
)
INFO = TargetInfo("i-1", SERVICE, 4, TargetState.READY, 1000, 7)
RECORD = PeerRecord("node-1", 5, 2, "a", "10.0.0.1:1", "10.0.0.1:2", 2.5, False, INFO)


def make_split(*weights):
    split = tuple(ServiceWeight(f"s{i}", weight) for i, weight in enumerate(weights))
    return Rule("r", "h", "/", True, 1000.0, 500.0, 1, 2, split)


def make_candidate(name, free=1, is_own=False, is_near=False, wait_ms=0.0):
    return Candidate(name, name, is_own, is_near, 4, 4 - free, 0, wait_ms)


class TestSplitter:
    @given(st.lists(st.integers(1, 100), min_size=2, max_size=4))
    def test_shares_follow_weights_over_any_hundred_calls(self, weights):
        splitter = Splitter()
        rule = make_split(*weights)
        chosen = [splitter.choose(rule) for _ in range(100)]
        for part in rule.split:
            share = part.weight / sum(weights)
            assert abs(chosen.count(part.service) / 100 - share) <= 0.03

    def test_service_without_weight_gets_no_calls(self):
        splitter = Splitter()
        rule = make_split(1, 0)
        assert {splitter.choose(rule) for _ in range(50)} == {"s0"}


class TestAdmission:
    def test_least_urgent_call_waits_only_within_its_target_latency(self):
        allowed = admission.compute_allowed_wait_ms(500, 2000, 500, 100, True)
        assert allowed == pytest.approx(500 - 130)

    def test_urgent_call_may_wait_longer_than_a_least_urgent_one(self):
        args = (100, 2000, 500, 100)
        late = admission.compute_allowed_wait_ms(*args, False)
        assert late > admission.compute_allowed_wait_ms(*args, True)

    @given(
        st.floats(-1000, 5000), st.floats(0, 5000), st.floats(1, 2000), st.booleans()
    )
    def test_wait_leaves_time_for_the_work_before_the_deadline(
        self, latency_ms, remaining_ms, target_ms, is_least
    ):
        allowed = admission.compute_allowed_wait_ms(
            latency_ms, remaining_ms, target_ms, 200.0, is_least
        )
        assert allowed <= remaining_ms - 200.0

    @given(st.floats(0, 1e6), st.floats(-1e6, 1e6))
    def test_retry_after_time_is_bounded(self, wait_ms, allowed_ms):
        retry_ms = admission.compute_retry_after_ms(wait_ms, allowed_ms)
        assert admission.MIN_RETRY_AFTER_MS <= retry_ms
        assert retry_ms <= admission.MAX_RETRY_AFTER_MS


class TestChoice:
    def test_free_target_beside_the_node_comes_first(self):
        own = make_candidate("own", 1, is_own=True, is_near=True)
        others = [make_candidate("near", 4, is_near=True), make_candidate("far", 4)]
        assert choose_target([*others, own]).candidate is own

    def test_free_target_elsewhere_comes_before_a_wait_nearby(self):
        near = make_candidate("near", 0, is_near=True, wait_ms=5)
        far = make_candidate("far", 1)
        choice = choose_target([near, far])
        assert choice.candidate is far
        assert choice.may_wait

    def test_call_waits_at_the_target_with_the_shortest_wait(self):
        near = make_candidate("near", 0, is_near=True, wait_ms=90)
        far = make_candidate("far", 0, wait_ms=30)
        choice = choose_target([near, far])
        assert choice.candidate is far
        assert choice.may_wait
        assert choose_target([]) is None

    def test_call_that_found_several_targets_full_waits_at_the_best_reported(self):
        full = [
            make_candidate(f"full-{i}", 0, wait_ms=50.0 + i) for i in range(MAX_FULL)
        ]
        unreported = [
            attrs.evolve(make_candidate(f"far-{i}", 4), is_load_known=False)
            for i in range(20)
        ]
        full_ids = [item.target_id for item in full]
        early = choose_target([*full, *unreported], full_ids[:-1])
        assert early.candidate in unreported
        choice = choose_target([*full, *unreported], full_ids)
        assert choice.candidate is full[0]
        assert choice.may_wait


class TestCallerRetryEstimator:
    def test_shorter_deadline_is_taken_for_a_retry(self):
        estimator = CallerRetryEstimator()
        assert estimator.estimate_elapsed_ms("read", 2000.0) == 0.0
        assert estimator.estimate_elapsed_ms("read", 1500.0) == 500.0
        assert estimator.estimate_elapsed_ms("read", 1990.0) == 0.0
        assert estimator.estimate_elapsed_ms("read", None) == 0.0


class TestHop:
    def test_round_trip(self):
        hop = Hop(17, "i-1", "r-2", 1, 480.0, 500.0, True, False, 12)
        assert parse_hop(format_hop(hop)) == hop
        third = attrs.evolve(hop, attempt=3, may_wait=False)
        assert parse_hop(format_hop(third)) == third
        refusal = Refusal(Reason.OVERLOADED, Outcome.NOT_RUN, 70)
        load = TargetLoad(3, 2, 40.0)
        assert parse_result(format_result(refusal, load, 9)) == (refusal, load, 9)
        assert parse_result(format_result(None, load, 9)) == (None, load, 9)

    @given(st.text(max_size=60))
    def test_malformed_header_is_ignored_or_leaves_the_outcome_unknown(self, value):
        if parse_hop(value) is None:
            refusal, load, version = parse_result(value)
            assert refusal is None or refusal.outcome is Outcome.UNKNOWN or load
            assert version >= 0


class TestPeerCodec:
    def test_round_trip(self):
        load = TargetLoad(1, 0, 2.5)
        message = PeerMessage("n", (1, 2), 3, load, (0, 0), RECORD, None, ("x:1",))
        assert decode_message(encode_message(message)) == message
        assert decode_record(encode_record(RECORD)) == RECORD

    @given(st.binary(max_size=80))
    def test_malformed_bytes_raise_a_codec_error(self, data):
        with pytest.raises(CodecError):
            decode_message(data)

    @pytest.mark.parametrize("place", range(8))
    def test_field_of_another_type_raises_a_codec_error(self, place):
        values = list(attrs.astuple(RECORD, recurse=False))
        values[place] = {"no": "such"}
        import orjson

        with pytest.raises(CodecError):
            decode_record(orjson.dumps(values, default=attrs.astuple))


class TestPeerDirectory:
    def test_older_record_is_ignored(self):
        directory = PeerDirectory(attrs.evolve(RECORD, node_id="own"))
        directory.update_record(RECORD, 0.0)
        older = attrs.evolve(RECORD, sequence=1, target=None)
        directory.update_record(older, 1.0)
        assert directory.get("node-1") == RECORD

    def test_previous_record_is_returned_after_a_restart(self):
        directory = PeerDirectory(attrs.evolve(RECORD, node_id="own"))
        directory.update_record(RECORD, 0.0)
        assert (
            directory.update_record(attrs.evolve(RECORD, incarnation=6), 1.0) == RECORD
        )

    def test_lost_node_is_used_only_if_no_other_is_left(self):
        directory = PeerDirectory(attrs.evolve(RECORD, node_id="own", target=None))
        other = attrs.evolve(
            RECORD, node_id="node-2", target=attrs.evolve(INFO, target_id="i-2")
        )
        directory.update_record(RECORD, 0.0)
        directory.update_record(other, 0.0)
        directory.note_lost("node-1", "test", 0.0)
        assert self.list_targets(directory) == ["i-2"]
        directory.note_lost("node-2", "test", 0.0)
        assert self.list_targets(directory) == ["i-1", "i-2"]

    def list_targets(self, directory):
        candidates = directory.get_candidates(
            SERVICE, LoadView(), lambda target_id: False, 1.0, 1
        )
        return sorted(item.target_id for item in candidates)


class TestLocalTarget:
    def make(self):
        self.changes = []
        return LocalTarget(
            "10.0.0.1:1",
            lambda: self.changes.append(1),
            lambda info, calls: None,
        )

    def make_heartbeat(self, sequence, started_ms=1000, **changes):
        values = {"service": SERVICE, "address": "10.0.0.1:1", "slots": 4}
        values |= {"is_draining": False, "cold_ms": 0.0, "target_id": "i-1"}
        return Heartbeat(sequence=sequence, started_ms=started_ms, **(values | changes))

    def test_unchanged_heartbeats_are_not_announced(self):
        target = self.make()
        for sequence in range(1, 5):
            target.handle_heartbeat(self.make_heartbeat(sequence), 0.0, 0)
        assert len(self.changes) == 1

    def test_draining_is_final_until_the_target_restarts(self):
        target = self.make()
        target.handle_heartbeat(self.make_heartbeat(1, is_draining=True), 0.0, 0)
        target.handle_heartbeat(self.make_heartbeat(2), 0.0, 0)
        assert not target.is_ready
        target.handle_heartbeat(self.make_heartbeat(1, started_ms=2000), 0.0, 0)
        assert target.is_ready

    def test_heartbeat_of_an_earlier_start_is_ignored(self):
        target = self.make()
        target.handle_heartbeat(self.make_heartbeat(1, started_ms=2000), 0.0, 0)
        late = self.make_heartbeat(90, target_id="i-0")
        assert not target.handle_heartbeat(late, 0.0, 0)
        assert target.info.target_id == "i-1"

    def test_record_from_a_peer_does_not_replace_a_newer_start(self):
        target = self.make()
        target.handle_heartbeat(self.make_heartbeat(1, started_ms=2000), 0.0, 0)
        target.restore(attrs.evolve(INFO, state=TargetState.LEFT), 0.0)
        assert target.is_ready


class TestCallerAnswer:
    @pytest.mark.parametrize("reason", list(Reason))
    def test_status_of_an_unknown_outcome_does_not_promise_not_run(self, reason):
        if reason in (
            Reason.BAD_REQUEST,
            Reason.BAD_DEADLINE,
            Reason.NO_ROUTE,
            Reason.BODY_TOO_LARGE,
        ):
            return
        status = get_status(Refusal(reason, Outcome.UNKNOWN))
        assert status in (502, 504)
        not_run = {Reason.UNKNOWN_KEY: 401, Reason.QUOTA_EXCEEDED: 429}
        assert get_status(Refusal(reason)) == not_run.get(reason, 503)

    def test_retry_after_may_be_a_fraction_of_a_second(self):
        assert format_retry_after(50) == "0.05"
        assert format_retry_after(1200) == "1.2"
