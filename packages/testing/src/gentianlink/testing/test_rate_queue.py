from gentianlink.testing.rate_queue import RateQueue


class TestRateQueue:
    def test_requests_beyond_the_rate_are_delayed_or_refused(self):
        queue = RateQueue(100, 25)
        delays = [queue.compute_delay_ms(1, 0) for _ in range(5)]
        assert delays == [0, 10, 20, None, None]
        assert queue.compute_delay_ms(2, 100) == 0
        assert queue.compute_delay_ms(1, 100) == 20

    def test_no_limit(self):
        queue = RateQueue(0, 0)
        assert [queue.compute_delay_ms(1000, 0) for _ in range(3)] == [0, 0, 0]
