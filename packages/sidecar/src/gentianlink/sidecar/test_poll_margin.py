from gentianlink.sidecar.poll_margin import MAX_MARGIN_MS, MIN_MARGIN_MS, PollMargin


class TestPollMargin:
    def test_margin_is_short_while_the_service_answers_at_once(self):
        margin = PollMargin()
        for _ in range(5):
            margin.note_answer(5.0)
        assert margin.compute_ms() == MIN_MARGIN_MS

    def test_slow_service_is_not_taken_for_a_silent_one(self):
        margin = PollMargin()
        timeouts = 0
        for _ in range(10):
            if margin.compute_ms() < 900.0:
                timeouts += 1
                margin.note_timeout()
            else:
                margin.note_answer(900.0)
        assert timeouts <= 2
        assert margin.compute_ms() == MAX_MARGIN_MS

    def test_margin_is_short_again_after_the_service_was_slow(self):
        margin = PollMargin()
        margin.note_answer(900.0)
        for _ in range(4):
            margin.note_answer(5.0)
        assert margin.compute_ms() == MIN_MARGIN_MS

    def test_large_version_on_a_slow_link_is_not_given_up(self):
        margin = PollMargin()
        margin.note_transfer(480.0)
        assert margin.compute_ms() > 480.0 + MIN_MARGIN_MS / 2
