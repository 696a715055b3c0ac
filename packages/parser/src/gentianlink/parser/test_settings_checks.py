import pytest

from gentianlink.parser.settings_file import parse_settings

GOOD = """\
[node]
id = n1
region = kingston
data_centre = kingston-1
[listen]
address = 127.0.0.1
call_port = 7000
mesh_port = 7001
admin_port = 7002
[platform]
table_url = http://127.0.0.1:9000/table
object_url = http://127.0.0.1:9000/objects
[mesh]
seeds = 127.0.0.2:7001
[calls]
connections = 130
[log]
level = info
"""


def format_problems(old, new):
    assert old in GOOD
    settings, problems = parse_settings(GOOD.replace(old, new), "n.ini")
    assert (settings is None) == bool(problems)
    return [problem.format() for problem in problems]


class TestSettingsChecks:
    def test_valid_settings(self):
        assert format_problems("info", "info") == []

    def test_equal_ports(self):
        assert format_problems("mesh_port = 7001", "mesh_port = 7000") == [
            "n.ini: [listen] mesh_port: found 7000; "
            "allowed: a port other than call_port"
        ]

    def test_all_ports_equal(self):
        text = GOOD.replace("7001\nadmin_port = 7002", "7000\nadmin_port = 7000")
        _, problems = parse_settings(text, "n.ini")
        assert [problem.key for problem in problems] == ["mesh_port", "admin_port"]

    def test_seed_is_this_node(self):
        assert format_problems("127.0.0.2:7001", "127.0.0.2:7001, 127.0.0.1:7001") == [
            "n.ini: [mesh] seeds: found 127.0.0.1:7001; "
            "allowed: addresses of other nodes"
        ]

    def test_duplicate_seed(self):
        assert format_problems("127.0.0.2:7001", "127.0.0.2:7001, 127.0.0.2:7001") == [
            "n.ini: [mesh] seeds: found 127.0.0.2:7001; allowed: once"
        ]

    def test_anti_entropy_interval_below_heartbeat_interval(self):
        new = "127.0.0.2:7001\nanti_entropy_ms = 500\nheartbeat_ms = 1000"
        assert format_problems("127.0.0.2:7001", new) == [
            "n.ini: [mesh] anti_entropy_ms: found 500; "
            "allowed: heartbeat_ms (1000) or more"
        ]

    def test_connect_timeout_above_silence_timeout(self):
        new = "connect_timeout_ms = 900\nsilence_timeout_ms = 800"
        assert format_problems("connections = 130", new) == [
            "n.ini: [calls] connect_timeout_ms: found 900; "
            "allowed: silence_timeout_ms (800) or less"
        ]

    @pytest.mark.parametrize(
        "value", ["localhost", "0.0.0.0", "224.0.0.1", "127.0.0.1:80", "::", "1.2.3"]
    )
    def test_invalid_listen_address(self, value):
        assert format_problems("address = 127.0.0.1", f"address = {value}") == [
            f"n.ini: [listen] address: found {value!r}; "
            "allowed: an IP address that other nodes can reach"
        ]

    @pytest.mark.parametrize(
        "value",
        ["host:7001", "127.0.0.2", "127.0.0.2:0", "127.0.0.2:65536", "127.0.0.2:+7"],
    )
    def test_malformed_seed(self, value):
        assert format_problems("127.0.0.2:7001", value) == [
            f"n.ini: [mesh] seeds: found {value!r}; "
            "allowed: addresses such as 127.0.0.1:7100, 127.0.0.1:7101"
        ]

    @pytest.mark.parametrize("value", ["1_30", "\u0661", "+5", "1e2", "9" * 30, ""])
    def test_malformed_whole_number(self, value):
        assert format_problems("connections = 130", f"connections = {value}") == [
            f"n.ini: [calls] connections: found {value!r}; "
            "allowed: whole number from 1 to 10000"
        ]

    @pytest.mark.parametrize(
        "value",
        ["http://", "http://h:99999", "http://h:0", "http://u@h", "http://h?q", "http"],
    )
    def test_invalid_url(self, value):
        old = "table_url = http://127.0.0.1:9000/table"
        assert format_problems(old, f"table_url = {value}") == [
            f"n.ini: [platform] table_url: found {value!r}; "
            "allowed: an address that starts with http:// or https://"
        ]
