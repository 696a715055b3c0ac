import json

from gentianlink.tools.exit_code import ExitCode


class TestCatalogueReads:
    def test_validate(self, operator, catalogue):
        path = operator.write(catalogue)
        result = operator.run("catalogue", "validate", path)
        assert result.exit_code == ExitCode.OK
        assert result.stdout == f"{path}: 1 services, 1 entries, no mistakes\n"

    def test_validate_of_a_missing_file(self, operator, tmp_path):
        path = tmp_path / "nothing.ini"
        result = operator.run("catalogue", "validate", path)
        assert result.exit_code == ExitCode.INVALID
        assert result.stderr.splitlines() == [
            f"{path}: found No such file or directory; allowed: a readable file",
            "mistakes in the catalogue: 1",
        ]

    def test_validate_as_json(self, operator, catalogue):
        path = operator.write(catalogue.replace("800", "0"))
        result = operator.run("catalogue", "validate", path, "--json")
        assert result.exit_code == ExitCode.INVALID
        assert json.loads(result.stdout) == {
            "problems": [
                {
                    "source": str(path),
                    "section": "entry balance",
                    "key": "deadline_ms",
                    "found": "0",
                    "allowed": "1 to 600000",
                }
            ]
        }

    def test_diff(self, operator, catalogue):
        operator.apply(catalogue, "--yes")
        path = operator.write(catalogue.replace("branch", "counter"))
        result = operator.run("catalogue", "diff", path)
        assert result.exit_code == ExitCode.DIFFERENT
        assert result.stdout.splitlines() == [
            "difference to version 1:",
            "  ~ service inquiry",
            "      owner: branch -> counter",
            "  ~ entry balance",
            "      owner: branch -> counter",
        ]

    def test_diff_without_a_difference(self, operator, catalogue):
        operator.apply(catalogue, "--yes")
        result = operator.run("catalogue", "diff", operator.write(catalogue))
        assert result.exit_code == ExitCode.OK
        assert result.stdout == "no difference to version 1\n"

    def test_shown_file_can_be_applied(self, operator, catalogue):
        operator.apply(catalogue, "--yes")
        result = operator.run("catalogue", "show", "--ini")
        assert result.stdout == catalogue

    def test_show_table(self, operator, catalogue):
        operator.apply(catalogue, "--yes")
        lines = operator.run("catalogue", "show", "1").stdout.splitlines()
        assert lines[0] == "version 1"
        assert lines[2].split() == ["inquiry", "branch", "0.5"]
        assert lines[5].split() == [
            "balance",
            "branch",
            "inquiry",
            "read",
            "/inquiry/balance",
            "800",
            "1",
        ]

    def test_unknown_version(self, operator):
        result = operator.run("catalogue", "show", "7")
        assert result.exit_code == ExitCode.VERSION_NOT_FOUND
        assert result.stderr == "there is no version 7\n"

    def test_history(self, operator, catalogue):
        operator.apply(catalogue, "--yes")
        operator.apply(catalogue.replace("800", "900"), "--yes")
        lines = operator.run("catalogue", "history").stdout.splitlines()
        assert lines[0].split() == ["version", "when", "who", "changed", "why"]
        assert [line.split()[0] for line in lines[1:]] == ["2", "1"]
        assert [line.split()[-3:] for line in lines[1:]] == [
            ["ann", "1", "test"],
            ["ann", "2", "test"],
        ]

    def test_revert_makes_a_new_version(self, operator, catalogue):
        operator.apply(catalogue, "--yes")
        operator.apply(catalogue.replace("800", "900"), "--yes")
        result = operator.run("catalogue", "revert", "1", "--why", "undo", "--yes")
        assert result.exit_code == ExitCode.OK
        assert result.stdout.startswith("accepted version 3 at ")
        assert operator.run("catalogue", "show", "--ini").stdout == catalogue
        document = json.loads(operator.run("catalogue", "show", "--json").stdout)
        assert document["version"] == 3

    def test_revert_to_unknown_version(self, operator):
        result = operator.run("catalogue", "revert", "4", "--why", "undo", "--yes")
        assert result.exit_code == ExitCode.VERSION_NOT_FOUND

    def test_damaged_head(self, operator, catalogue):
        operator.write_row("catalogue/head", "{")
        result = operator.run("catalogue", "show")
        assert result.exit_code == ExitCode.CONTENT_DAMAGED
        assert result.stderr.startswith("the platform's content is damaged: ")

    def test_frozen_platform(self, operator, tmp_path):
        operator.set_faults("table", frozen=True)
        config = operator.write(
            "[platform]\n"
            f"table_url = {operator.platform_url}/table\n"
            f"object_url = {operator.platform_url}/objects\n"
            "timeout_ms = 50\n",
            "operator.ini",
        )
        result = operator.run("catalogue", "history", "--config", config)
        assert result.exit_code == ExitCode.PLATFORM_UNAVAILABLE
        assert result.stderr.startswith("the platform is unavailable: ")
