import itertools

from hypothesis import given
from hypothesis import strategies as st

from gentianlink.sidecar.call_fingerprint import CONTENT_DIGITS
from gentianlink.sidecar.completed_calls import MAX_COMPLETED, CompletedCalls
from gentianlink.sidecar.crash_report import CrashReport
from gentianlink.sidecar.own_crash_reports import (
    EXPLAINED_MS,
    MAX_CALLS,
    MAX_REPORTS,
    REPORT_LIFETIME_MS,
    OwnCrashReports,
)
from gentianlink.sidecar.quarantine import (
    MAX_QUARANTINED,
    MIN_COMMON_CRASHES,
    MIN_CRASHES,
    Quarantine,
)
from gentianlink.sidecar.quarantine import MAX_REPORTS as MAX_KNOWN_REPORTS


def make_fingerprint(name, caller="a"):
    return name.ljust(CONTENT_DIGITS, "-") + caller


def make_report(number, *names):
    fingerprints = (
        n if len(n) > CONTENT_DIGITS else make_fingerprint(n) for n in names
    )
    return CrashReport(f"target-{number}", number, tuple(fingerprints))


def learn(quarantine, *crashes):
    """Learn a report for each crash, given as names of the calls in flight."""
    for number, names in enumerate(crashes):
        quarantine.learn(make_report(number, *names.split()), float(number))
    return sorted(item.content.rstrip("-") for item in quarantine.requests)


class TestQuarantine:
    def test_request_that_crashed_three_targets_is_quarantined(self):
        quarantine = Quarantine()
        crashes = [f"bad other-{number}" for number in range(MIN_CRASHES)]
        assert learn(quarantine, *crashes[:-1]) == []
        assert quarantine.is_suspect(make_fingerprint("bad"))
        assert learn(quarantine, *crashes) == ["bad"]
        assert quarantine.is_quarantined(make_fingerprint("bad"))
        assert not quarantine.is_suspect(make_fingerprint("bad"))
        assert not quarantine.is_quarantined(make_fingerprint("other-0"))

    def test_several_reports_on_one_crash_count_once(self):
        quarantine = Quarantine()
        for _ in range(MIN_CRASHES):
            assert quarantine.learn(make_report(1, "bad"), 0.0) == []
        assert quarantine.requests == []

    def test_request_in_flight_at_explained_crashes_stays_free(self):
        quarantine = Quarantine()
        assert learn(quarantine, "bad", "bad", "bad", *["bad popular"] * 9) == ["bad"]
        assert not quarantine.is_suspect(make_fingerprint("popular"))

    def test_of_two_requests_at_the_same_crashes_the_one_that_goes_on_is_found(self):
        quarantine = Quarantine()
        assert learn(quarantine, *["bad unlucky"] * MIN_CRASHES) == []
        crashes = [*["bad unlucky"] * MIN_CRASHES, "bad"]
        assert learn(quarantine, *crashes) == ["bad"]
        assert not quarantine.is_suspect(make_fingerprint("unlucky"))

    def test_two_requests_that_always_come_together_are_both_quarantined(self):
        quarantine = Quarantine()
        crashes = ["one two"] * MIN_COMMON_CRASHES
        assert learn(quarantine, *crashes[:-1]) == []
        assert learn(quarantine, *crashes) == ["one", "two"]

    def test_two_requests_that_crash_targets_in_turn_are_both_found(self):
        quarantine = Quarantine()
        crashes = ["one", "two", "one two", "one", "two", "two"]
        assert learn(quarantine, *crashes) == ["one", "two"]

    def test_other_callers_are_refused_only_if_their_calls_crash_targets_too(self):
        quarantine = Quarantine()
        learn(quarantine, *["bad"] * MIN_CRASHES)
        other = make_fingerprint("bad", "b")
        assert not quarantine.is_quarantined(other)
        [request] = quarantine.learn(make_report(90, other), 0.0)
        assert request.callers == ()
        assert quarantine.is_quarantined(make_fingerprint("bad", "c"))

    def test_request_from_several_callers_is_found_by_all_its_crashes(self):
        quarantine = Quarantine()
        callers = "abc"[:MIN_CRASHES]
        learn(quarantine, *(make_fingerprint("bad", caller) for caller in callers))
        assert quarantine.is_quarantined(make_fingerprint("bad", "d"))

    def test_withdrawn_suspicion_counts_no_more(self):
        quarantine = Quarantine()
        learn(quarantine, "bad", "bad")
        assert quarantine.learn(make_report(0), 5.0) == []
        assert quarantine.learn(make_report(2, "bad"), 6.0) == []
        assert quarantine.requests == []

    def test_request_is_found_once_its_companion_is_known_to_be_harmless(self):
        quarantine = Quarantine()
        learn(quarantine, *["bad unlucky"] * MIN_CRASHES)
        [request] = quarantine.learn(make_report(1, "bad"), 5.0)
        assert request.content.startswith("bad")

    def test_lifted_quarantine_returns_only_after_new_crashes(self):
        quarantine = Quarantine()
        learn(quarantine, *["bad"] * MIN_CRASHES)
        [request] = quarantine.requests
        quarantine.lift(request.content)
        assert not quarantine.is_quarantined(make_fingerprint("bad"))
        assert learn(quarantine, *["bad"] * (2 * MIN_CRASHES - 1)) == []
        assert learn(quarantine, *["bad"] * (2 * MIN_CRASHES)) == ["bad"]

    def test_old_reports_are_no_evidence(self):
        quarantine = Quarantine()
        learn(quarantine, "bad", "bad")
        late_ms = REPORT_LIFETIME_MS + 10.0
        assert quarantine.learn(make_report(8, "bad"), late_ms) == []
        assert not quarantine.is_suspect(make_fingerprint("bad"))

    def test_memory_is_bounded(self):
        quarantine = Quarantine()
        for number in range(3 * (MAX_KNOWN_REPORTS + 10)):
            quarantine.learn(make_report(number, f"b{number // 3}"), 0.0)
        assert len(quarantine.requests) == MAX_QUARANTINED
        assert len(quarantine._crashes) == MAX_KNOWN_REPORTS
        assert len(quarantine._crashes_by_content) <= MAX_KNOWN_REPORTS

    # Guards against counting crashes against a request that other targets complete.
    def test_completed_request_is_not_counted_for_the_crashes_before(self):
        quarantine = Quarantine()
        popular = make_fingerprint("popular")
        for number in range(3 * MIN_CRASHES):
            report = make_report(number, "popular")
            assert quarantine.learn(report, float(number), "node-1") == []
            reporters = quarantine.find_reporters(popular)
            assert reporters == {"node-1": [report.crash_id]}
            quarantine.note_completed(popular, reporters["node-1"])
            assert quarantine.find_reporters(popular) == {}
            # The reporter may repeat the report before it has heard of that.
            assert quarantine.learn(report, float(number), "node-1") == []
        assert not quarantine.is_suspect(popular)

    # Guards against a wrong quarantine that only an operator can end.
    def test_completion_ends_a_quarantine(self):
        disproved = []
        quarantine = Quarantine(disproved.append)
        assert learn(quarantine, *["popular"] * MIN_CRASHES) == ["popular"]
        [request] = quarantine.requests
        quarantine.note_completed(make_fingerprint("popular"), [("target-1", 1)])
        assert disproved == [request]
        assert not quarantine.is_quarantined(make_fingerprint("popular"))

    def test_report_with_fewer_calls_ends_a_quarantine(self):
        quarantine = Quarantine()
        learn(quarantine, *["popular other"] * MIN_COMMON_CRASHES)
        quarantine.learn(make_report(0, "other"), 9.0)
        assert [item.content.rstrip("-") for item in quarantine.requests] == ["other"]

    def test_completion_by_another_caller_is_no_evidence(self):
        quarantine = Quarantine()
        learn(quarantine, *["bad"] * MIN_CRASHES)
        quarantine.note_completed(make_fingerprint("bad", "b"), [("target-1", 1)])
        assert quarantine.is_quarantined(make_fingerprint("bad"))

    @given(
        st.lists(
            st.frozensets(st.sampled_from("pqrst"), min_size=1), min_size=1, max_size=12
        )
    )
    def test_request_at_fewer_crashes_than_the_minimum_is_never_refused(self, crashes):
        quarantine = Quarantine()
        learn(quarantine, *(" ".join(sorted(names)) for names in crashes))
        for name in "pqrst":
            if sum(name in names for names in crashes) < MIN_CRASHES:
                assert not quarantine.is_quarantined(make_fingerprint(name))

    @given(st.permutations(range(5)))
    def test_order_of_reports_does_not_matter_for_one_crashing_request(self, order):
        others = ["x y", "x", "y z", "", "z"]
        quarantine = Quarantine()
        for number in order:
            report = make_report(number, "bad", *others[number].split())
            quarantine.learn(report, 0.0)
        assert [item.content.rstrip("-") for item in quarantine.requests] == ["bad"]


class TestOwnCrashReports:
    def test_reports_are_bounded(self):
        own = OwnCrashReports()
        for number in range(MAX_REPORTS + 3):
            names = [f"c{number}" for number in range(MAX_CALLS + 5)]
            assert own.add(make_report(number, *names), 0.0)
        assert len(own.reports) == MAX_REPORTS
        assert own.reports[-1].target_id == f"target-{MAX_REPORTS + 2}"
        assert len(own.reports[0].fingerprints) == MAX_CALLS

    def test_known_crash_is_not_added_again(self):
        own = OwnCrashReports()
        assert own.add(make_report(1, "a"), 0.0)
        assert not own.add(make_report(1, "a"), 0.0)

    def test_reports_are_dropped_after_their_lifetime(self):
        own = OwnCrashReports()
        own.add(make_report(1, "a"), 0.0)
        assert not own.drop_old(lambda item: False, REPORT_LIFETIME_MS - 1.0)
        assert own.drop_old(lambda item: False, REPORT_LIFETIME_MS)
        assert own.reports == ()

    def test_calls_beside_a_quarantined_one_are_dropped_first(self):
        own = OwnCrashReports()
        own.add(make_report(1, "bad", "other"), 0.0)
        bad = make_fingerprint("bad")
        assert not own.drop_old(lambda item: item == bad, EXPLAINED_MS - 1.0)
        assert own.drop_old(lambda item: item == bad, EXPLAINED_MS)
        assert own.reports == (make_report(1, "bad"),)


class TestCompletedCalls:
    def test_completed_request_is_harmless_at_one_crash(self):
        completed = CompletedCalls()
        completed.note("popular")
        assert completed.take("popular")
        assert not completed.take("popular")

    def test_oldest_completion_is_forgotten_first(self):
        completed = CompletedCalls()
        for number in itertools.chain(range(MAX_COMPLETED), [0], [MAX_COMPLETED]):
            completed.note(str(number))
        assert completed.take("0")
        assert not completed.take("1")
