import pytest

from gentianlink.core.errors import SettingsInvalid
from gentianlink.node.reload_report import ReloadReport
from gentianlink.node.settings_reloader import SettingsReloader
from gentianlink.parser.settings_file import load_settings

TEXT = """\
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
[log]
level = info
"""


class TestSettingsReloader:
    @pytest.fixture
    def path(self, tmp_path):
        path = tmp_path / "n.ini"
        path.write_text(TEXT)
        return path

    def make_reloader(self, path, changed):
        return SettingsReloader(path, load_settings(path), changed.append)

    def test_nothing_changed(self, path):
        changed = []
        reloader = self.make_reloader(path, changed)
        assert reloader.reload() == ReloadReport((), ())
        assert changed == []

    def test_applies_settings_that_need_no_restart(self, path):
        changed = []
        reloader = self.make_reloader(path, changed)
        text = TEXT.replace("level = info", "level = debug\nformat = console")
        path.write_text(text.replace("call_port = 7000", "call_port = 7009"))
        report = ReloadReport(("log.level", "log.format"), ("listen.call_port",))
        assert reloader.reload() == report
        assert [settings.log.level for settings in changed] == ["debug"]
        assert reloader.settings.log.format == "console"
        assert reloader.settings.listen.call_port == 7000
        assert reloader.reload() == ReloadReport((), ("listen.call_port",))

    def test_mistake_changes_nothing(self, path):
        changed = []
        reloader = self.make_reloader(path, changed)
        path.write_text(TEXT.replace("level = info", "level = loud"))
        with pytest.raises(SettingsInvalid) as caught:
            reloader.reload()
        assert [problem.key for problem in caught.value.problems] == ["level"]
        assert changed == []
        assert reloader.settings.log.level == "info"
