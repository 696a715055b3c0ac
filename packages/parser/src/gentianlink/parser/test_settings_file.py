from gentianlink.parser.settings_file import parse_settings

GOOD = """\
[node]
id = inquiry-1
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
"""
BAD = """\
[node]
id = a b
region = kingston

[listen]
address = 127.0.0.1
call_port = 70000
mesh_port = 7001
admin_port = 7002
colour = blue

[platform]
table_url = ftp://example
object_url = http://127.0.0.1:9000/objects

[mash]
"""


class TestSettingsFile:
    def test_valid_settings(self):
        settings, problems = parse_settings(GOOD, "good.ini")
        assert problems == []
        assert settings.node.id == "inquiry-1"
        assert settings.listen.call_port == 7000
        assert settings.mesh.readers == 2

    def test_every_mistake_is_listed(self):
        settings, problems = parse_settings(BAD, "bad.ini")
        assert settings is None
        assert [problem.format() for problem in problems] == [
            "bad.ini: [mash]: found an unknown section; allowed: "
            "node, listen, platform, mesh, calls, claims, log",
            "bad.ini: [node] id: found 'a b'; allowed: 1 to 64 letters, digits, "
            "'.', '_' or '-', first a letter or digit",
            "bad.ini: [node] data_centre: found nothing; allowed: 1 to 64 letters, "
            "digits, '.', '_' or '-', first a letter or digit",
            "bad.ini: [listen] call_port: found '70000'; "
            "allowed: whole number from 1 to 65535",
            "bad.ini: [listen] colour: found an unknown key; "
            "allowed: address, call_port, mesh_port, admin_port",
            "bad.ini: [platform] table_url: found 'ftp://example'; "
            "allowed: an address that starts with http:// or https://",
        ]
