from gentianlink.parser.ini_file import MAX_FILE_BYTES, MAX_LINES, parse_ini, read_text


def format_problems(text):
    return [problem.format() for problem in parse_ini(text, "f.ini").problems]


class TestIniFile:
    def test_every_duplicate_is_listed(self):
        text = "[a]\nx = 1\nx = 2\n[b]\n[a]\ny = 3\n[b]\n"
        assert format_problems(text) == [
            "f.ini: [a] x: found the key again at line 3; allowed: once",
            "f.ini: [a]: found the section again at line 5; allowed: once",
            "f.ini: [b]: found the section again at line 7; allowed: once",
        ]
        assert parse_ini(text, "f.ini").sections == {"a": {"x": "1"}, "b": {}}

    def test_every_malformed_line_is_listed(self):
        allowed = "[section], key = value, or a comment after #"
        assert format_problems("[a]\nx = 1\nnonsense\ny = 2\nmore\n") == [
            f"f.ini: found line 3: 'nonsense'; allowed: {allowed}",
            f"f.ini: found line 5: 'more'; allowed: {allowed}",
        ]

    def test_text_before_the_first_section(self):
        assert format_problems("x = 1\n[a]\n") == [
            "f.ini: found text before the first section at line 1; allowed: INI text"
        ]

    def test_default_is_an_ordinary_section(self):
        assert parse_ini("[DEFAULT]\nx = 1\n[a]\n", "f.ini").sections == {
            "DEFAULT": {"x": "1"},
            "a": {},
        }

    def test_number_of_duplicates_is_bounded(self):
        problems = parse_ini("[a]\nx = 1\n" * 100, "f.ini").problems
        assert len(problems) == 21
        assert problems[-1].format() == (
            "f.ini: found more than 20 repeated sections or keys; "
            "allowed: each of them once"
        )

    def test_number_of_lines_is_bounded(self):
        assert format_problems("[a]\n" + "x\n" * MAX_LINES) == [
            "f.ini: found 30001 lines; allowed: at most 30000 lines"
        ]

    def test_invalid_utf_8(self, tmp_path):
        path = tmp_path / "f.ini"
        path.write_bytes(b"[a]\nx = \xff\n")
        text, problems = read_text(path)
        assert text == ""
        assert [problem.format() for problem in problems] == [
            f"{path}: found byte 0xff at position 8; allowed: text in UTF-8"
        ]

    def test_byte_order_mark_is_ignored(self, tmp_path):
        path = tmp_path / "f.ini"
        path.write_bytes(b"\xef\xbb\xbf[a]\n")
        assert read_text(path) == ("[a]\n", [])

    def test_size_of_a_file_is_bounded(self, tmp_path):
        path = tmp_path / "f.ini"
        path.write_bytes(b"#" * (MAX_FILE_BYTES + 1))
        _, problems = read_text(path)
        assert [problem.format() for problem in problems] == [
            f"{path}: found a larger file; allowed: at most 4194304 bytes"
        ]

    def test_directory_is_not_readable(self, tmp_path):
        _, problems = read_text(tmp_path)
        assert [problem.format() for problem in problems] == [
            f"{tmp_path}: found Is a directory; allowed: a readable file"
        ]
