from gentianlink.node.claims.store_breaker import StoreBreaker


def make_open_breaker(now_ms):
    breaker = StoreBreaker()
    for _ in range(3):
        assert breaker.may_try(now_ms)
        breaker.note_failure(now_ms)
    return breaker


class TestStoreBreaker:
    def test_opens_after_failures_in_a_row(self):
        breaker = StoreBreaker()
        for _ in range(5):
            breaker.note_failure(0)
            breaker.note_failure(0)
            breaker.note_success()
        assert breaker.may_try(0)
        assert not make_open_breaker(0).may_try(0)

    def test_one_probe_per_period(self):
        breaker = make_open_breaker(0)
        allowed = [breaker.may_try(now_ms) for now_ms in (999, 1000, 1001, 1999, 2000)]
        assert allowed == [False, True, False, False, True]

    def test_success_closes(self):
        breaker = make_open_breaker(0)
        breaker.note_success()
        assert breaker.may_try(0)
