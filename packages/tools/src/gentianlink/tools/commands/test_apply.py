import json

from gentianlink.tools.exit_code import ExitCode


class TestApply:
    def test_first_version(self, operator, catalogue):
        result = operator.apply(catalogue, "--yes")
        assert result.exit_code == ExitCode.OK
        lines = result.stdout.splitlines()
        assert lines[0].startswith("accepted version 1 at ")
        assert lines[1:] == ["  + service inquiry", "  + entry balance"]

    def test_question_comes_after_the_difference(self, operator, catalogue):
        operator.apply(catalogue, "--yes")
        result = operator.apply(catalogue.replace("800", "900"), text="y\n")
        assert result.exit_code == ExitCode.OK
        lines = result.stdout.splitlines()
        assert lines[:4] == [
            "difference to version 1:",
            "  ~ entry balance",
            "      deadline_ms: 800 -> 900",
            "make this the next version? [y/N]: y",
        ]
        assert lines[4].startswith("accepted version 2 at ")

    def test_question_declined(self, operator, catalogue):
        result = operator.apply(catalogue, text="n\n")
        assert result.exit_code == ExitCode.DECLINED
        assert "not confirmed: nothing was changed" in result.stderr
        assert operator.run("catalogue", "history", "--json").stdout == (
            '{\n  "changes": []\n}\n'
        )

    def test_question_at_the_end_of_input_is_declined(self, operator, catalogue):
        assert operator.apply(catalogue, text="").exit_code == ExitCode.DECLINED

    def test_same_content_makes_no_version(self, operator, catalogue):
        operator.apply(catalogue, "--yes")
        result = operator.apply(catalogue)
        assert result.exit_code == ExitCode.OK
        assert result.stdout == "no difference: nothing was changed\n"

    def test_repeat_with_the_same_change_id_returns_the_same_change(
        self, operator, catalogue
    ):
        first = operator.apply(catalogue, "--yes", "--change-id", "c1", "--json")
        second = operator.apply(catalogue, "--yes", "--change-id", "c1", "--json")
        assert json.loads(first.stdout) == json.loads(second.stdout)

    def test_change_id_with_other_content(self, operator, catalogue):
        operator.apply(catalogue, "--yes", "--change-id", "c1")
        other = catalogue.replace("800", "900")
        result = operator.apply(other, "--yes", "--change-id", "c1")
        assert result.exit_code == ExitCode.CONFLICT
        assert (
            "the change id is taken: c1 was already used for version 1" in result.stderr
        )

    def test_base_that_is_no_longer_the_last_version(self, operator, catalogue):
        operator.apply(catalogue, "--yes")
        operator.apply(catalogue.replace("800", "900"), "--yes")
        other = catalogue.replace("800", "700")
        result = operator.apply(other, "--yes", "--base", "1")
        assert result.exit_code == ExitCode.CONFLICT
        assert result.stderr == (
            "not accepted: version 1 is not the last one any more; accepted since:\n"
            "version 2 by ann: test\n"
            "  ~ entry balance\n"
        )

    def test_invalid_catalogue_file(self, operator, catalogue):
        text = catalogue.replace("class = read", "class = green")
        result = operator.apply(text, "--yes")
        assert result.exit_code == ExitCode.INVALID
        assert "[entry balance] class: found 'green'" in result.stderr

    def test_table_down(self, operator, catalogue):
        operator.set_faults("table", down=True)
        result = operator.apply(catalogue, "--yes")
        assert result.exit_code == ExitCode.PLATFORM_UNAVAILABLE
        assert result.stderr == "the platform is unavailable: status 503\n"

    def test_object_store_loses_answers(self, operator, catalogue):
        operator.set_faults("objects", lose_answers=True)
        result = operator.apply(catalogue, "--yes")
        assert result.exit_code == ExitCode.PLATFORM_UNAVAILABLE
        assert result.stderr == (
            "the platform is unavailable: "
            "the platform failed before the head was written\n"
        )

    def test_repeat_while_the_platform_is_down(self, operator, catalogue):
        operator.set_faults("table", down=True)
        result = operator.apply(catalogue, "--yes", "--change-id", "c7")
        assert result.exit_code == ExitCode.OUTCOME_UNKNOWN
        assert result.stderr == (
            "not known whether accepted: PlatformUnavailable\n"
            "repeat the command with --change-id c7 to find out\n"
        )

    def test_wait(self, operator, catalogue):
        answers = [
            {"version": 1, "nodes": 2, "in_force": 1, "behind": ["b"]}
            | {"complete": False},
            {"version": 1, "nodes": 2, "in_force": 2, "behind": []}
            | {"complete": True},
        ]
        url = operator.serve_admin({"/v1/convergence": answers})
        result = operator.apply(catalogue, "--yes", "--wait", "--node", url)
        assert result.exit_code == ExitCode.OK
        assert result.stderr == (
            "version 1: in force on 1 of 2 nodes\nversion 1: in force on 2 of 2 nodes\n"
        )
        assert result.stdout.splitlines()[-1].startswith("in force on all 2 nodes, ")

    def test_wait_without_nodes(self, operator, catalogue):
        options = ("--yes", "--wait", "--timeout", "0.3", "--change-id", "c1")
        result = operator.apply(catalogue, *options)
        assert result.exit_code == ExitCode.WAIT_TIMEOUT
        assert result.stdout.startswith("accepted version 1 at ")
        assert result.stderr == (
            "version 1 was accepted, but waiting failed: "
            "no node answers on its admin port\n"
        )

    def test_invalid_address_of_the_table_service(self, operator, catalogue):
        result = operator.apply(catalogue, "--yes", "--table-url", "nonsense")
        assert result.exit_code == ExitCode.INVALID
        assert result.stderr == (
            "command line: --table-url: found 'nonsense'; allowed: an address "
            "that starts with http:// or https://\nmistakes in the settings: 1\n"
        )
