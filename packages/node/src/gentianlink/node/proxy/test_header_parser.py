import pytest
from hypothesis import given
from hypothesis import strategies as st
from tornado.httputil import HTTPHeaders, HTTPInputError

from gentianlink.node.proxy.header_parser import parse_head

NAMES = st.text("abcXYZ-_09!~", min_size=1, max_size=8)
VALUES = st.text(
    st.characters(min_codepoint=0x20, max_codepoint=0xFF, exclude_characters="\x7f"),
    max_size=12,
)


class TestParseHead:
    @given(st.lists(st.tuples(NAMES, VALUES), max_size=6))
    def test_well_formed_heads_are_parsed_as_tornado_does(self, pairs):
        block = "".join(f"{name}: {value}\r\n" for name, value in pairs)
        start_line, headers = parse_head(
            f"GET / HTTP/1.1\r\n{block}\r\n".encode("latin1")
        )
        if headers is None:
            return
        assert start_line == "GET / HTTP/1.1"
        assert list(headers.get_all()) == list(HTTPHeaders.parse(block).get_all())

    @given(st.binary(max_size=60))
    def test_what_tornado_refuses_is_not_accepted(self, data):
        head = b"GET / HTTP/1.1\r\n" + data + b"\r\n\r\n"
        _, headers = parse_head(head)
        if headers is None:
            return
        text = head.decode("latin1")
        expected = HTTPHeaders.parse(text[text.find("\n") :])
        assert list(headers.get_all()) == list(expected.get_all())

    @pytest.mark.parametrize(
        "line", [" folded: x", "no colon", "sp ace: x", "a:\x00", "a: b\nc: d", ": x"]
    )
    def test_malformed_lines_are_left_to_tornado(self, line):
        assert parse_head(f"GET / HTTP/1.1\r\n{line}\r\n\r\n".encode())[1] is None

    def test_repeated_headers_are_kept_in_order(self):
        _, headers = parse_head(b"GET / HTTP/1.1\r\na: 1\r\nA: 2\r\n\r\n")
        assert headers.get_list("a") == ["1", "2"]

    def test_tornado_still_refuses_a_folded_line(self):
        with pytest.raises(HTTPInputError):
            HTTPHeaders.parse("\r\na: 1\r\n b\r\n")
