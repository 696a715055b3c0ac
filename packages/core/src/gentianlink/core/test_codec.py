import pytest

from gentianlink.core.codec import decode, encode
from gentianlink.core.errors import CodecError
from gentianlink.core.head import Head

INVALID_HEADS = (
    b"",
    b"[]",
    b"null",
    b"1",
    b'"a"',
    b'{"version": "x"}',
    b'{"colour": 1}',
    b'{"version": []}',
    b'{"version": 1e999}',
    b"\xff",
    b"[" * 100_000,
)


class TestCodec:
    def test_round_trip(self):
        head = Head(3, "digest", "c1")
        assert decode(encode(head), Head) == head

    @pytest.mark.parametrize("data", INVALID_HEADS)
    def test_undecodable_bytes_raise_codec_error(self, data):
        with pytest.raises(CodecError):
            decode(data, Head)
