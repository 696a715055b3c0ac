import pytest
from typer.testing import CliRunner

from gentianlink.node.exit_code import NodeExitCode
from gentianlink.node.main import make_application
from gentianlink.testing.example_settings import DIRECTORY


class TestMain:
    def check(self, path):
        return CliRunner().invoke(make_application(), [str(path), "--check"])

    @pytest.mark.parametrize("name", ["kingston", "ho-chi-minh-city"])
    def test_check_of_an_example(self, name):
        path = DIRECTORY / f"{name}.node.ini"
        result = self.check(path)
        assert result.exit_code == NodeExitCode.STOPPED
        assert result.stdout == f"{path}: no mistakes\n"

    def test_check_lists_every_mistake(self, tmp_path):
        text = (DIRECTORY / "kingston.node.ini").read_text()
        path = tmp_path / "n.ini"
        path.write_text(
            text.replace("mesh_port = 7001", "mesh_port = 7000") + "level = loud\n"
        )
        result = self.check(path)
        assert result.exit_code == NodeExitCode.SETTINGS_INVALID
        assert result.stderr == (
            f"{path}: [log] level: found the key again at line "
            f"{len(path.read_text().splitlines())}; allowed: once\n"
        )

    def test_missing_file(self, tmp_path):
        result = self.check(tmp_path / "n.ini")
        assert result.exit_code == NodeExitCode.SETTINGS_INVALID
        assert result.stderr == (
            f"{tmp_path / 'n.ini'}: found No such file or directory; "
            "allowed: a readable file\n"
        )
