from tornado.httputil import HTTPHeaders

from gentianlink.core.codec import decode, encode
from gentianlink.node.claims.recorded_answer import (
    RecordedAnswer,
    make_recorded_answer,
)

HEADERS = HTTPHeaders(
    {
        "Content-Type": "text/plain",
        "Content-Length": "3",
        "Set-Cookie": "a=b",
        "X-Gentianlink-Version": "7",
    }
)


class TestRecordedAnswer:
    def test_headers_specific_to_one_exchange_are_dropped(self):
        answer = make_recorded_answer(201, HEADERS, b"abc")
        assert answer == RecordedAnswer(201, (("Content-Type", "text/plain"),), "abc")

    def test_every_byte_value_survives_the_codec(self):
        body = bytes(range(256))
        answer = make_recorded_answer(200, HTTPHeaders(), body)
        decoded = decode(encode(answer), RecordedAnswer)
        assert decoded.body.encode("latin-1") == body

    def test_large_answer_is_reduced_to_its_status(self):
        large = HTTPHeaders({"A": "b" * 5000})
        expected = RecordedAnswer(200, is_whole=False)
        assert make_recorded_answer(200, large, b"") == expected
        assert make_recorded_answer(200, HTTPHeaders(), None) == expected
