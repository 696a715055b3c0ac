import json

from gentianlink.tools.exit_code import ExitCode

REFUSED = "DigestMismatch: version 2"


def make_status(version, applied_ms, **fields):
    status = {"ready": True, "version": version, "applied_ms": applied_ms}
    return {**status, "refused": {}, **fields}


def make_record(url, node_id, state="alive"):
    address, _, port = url.removeprefix("http://").partition(":")
    record = {"node_id": node_id, "data_centre": "kingston-1", "state": state}
    return {**record, "address": address, "admin_port": int(port)}


def serve_fleet(operator, statuses):
    """Serve each status on an admin port, and the list of the nodes on another one."""
    answers = [{"/v1/status": status} for status in statuses]
    urls = [operator.serve_admin(answer) for answer in answers]
    records = [make_record(url, f"n{index}") for index, url in enumerate(urls)]
    url = operator.serve_admin({"/v1/nodes": {"nodes": records}})
    return url, records


class TestFleetCommands:
    def test_status_lists_the_nodes_that_are_behind(self, operator, catalogue):
        operator.apply(catalogue, "--yes")
        operator.apply(catalogue.replace("800", "900"), "--yes")
        statuses = [
            make_status(2, {"2": 5}),
            make_status(1, {"1": 5}, refused={"2": REFUSED}),
            make_status(1, {"1": 5}),
            make_status(2, {"2": 5}, ready=False),
        ]
        url, records = serve_fleet(operator, statuses)
        records.append(make_record("http://127.0.0.1:1", "n4"))
        records.append(make_record("http://127.0.0.1:1", "n5", "dead"))
        url = operator.serve_admin({"/v1/nodes": {"nodes": records}})
        result = operator.run("status", "--node", url)
        assert result.exit_code == ExitCode.BEHIND
        lines = [line.split() for line in result.stdout.splitlines()]
        assert [" ".join(line) for line in lines] == [
            "version 2 is in force and served by 1 of 5 nodes",
            "node data centre version behind why",
            f"n1 kingston-1 1 1 refused: {REFUSED}",
            "n2 kingston-1 1 1 no later version heard yet",
            "n3 kingston-1 2 0 not ready to serve",
            "n4 kingston-1 ? ? its admin port does not answer",
        ]

    def test_status_when_no_node_is_behind(self, operator, catalogue):
        operator.apply(catalogue, "--yes")
        url, _ = serve_fleet(operator, [make_status(1, {"1": 5})])
        result = operator.run("status", "--node", url)
        assert result.exit_code == ExitCode.OK
        assert result.stdout == "version 1 is in force and served by 1 of 1 nodes\n"

    def test_nodes_are_found_through_the_table_service(self, operator, catalogue):
        operator.apply(catalogue, "--yes")
        url, _ = serve_fleet(operator, [make_status(1, {"1": 5})])
        operator.write_row("admin/kingston-1/gone", "127.0.0.1:1")
        operator.write_row("admin/kingston-1/n9", url.removeprefix("http://"))
        document = json.loads(operator.run("status", "--json").stdout)
        assert document == {
            "version": 1,
            "nodes": [
                {
                    "node_id": "n0",
                    "data_centre": "kingston-1",
                    "reached": True,
                    "ready": True,
                    "version": 1,
                    "why": "",
                }
            ],
        }

    def test_no_node(self, operator):
        result = operator.run("status")
        assert result.exit_code == ExitCode.NODE_UNREACHABLE
        assert result.stderr == "no node answers on its admin port\n"

    def test_audit_of_a_version(self, operator, catalogue):
        change = json.loads(operator.apply(catalogue, "--yes", "--json").stdout)
        when_ms = change["change"]["when_ms"]
        statuses = [
            make_status(2, {"2": when_ms + 40}),
            make_status(0, {}, refused={"1": REFUSED}),
        ]
        url, _ = serve_fleet(operator, statuses)
        lines = operator.run("audit", "1", "--node", url).stdout.splitlines()
        assert lines[0].startswith("version 1 by ann at ")
        assert lines[2:4] == ["  + service inquiry", "  + entry balance"]
        assert lines[5].split()[-1] == "40"
        assert lines[6].split() == ["n1", "kingston-1", "refused:", *REFUSED.split()]

    def test_audit_without_nodes(self, operator, catalogue):
        operator.apply(catalogue, "--yes")
        result = operator.run("audit")
        assert result.exit_code == ExitCode.OK
        assert result.stdout.splitlines()[-1] == (
            "  in force on 0 of 0 nodes that were asked"
        )
        assert result.stderr == (
            "nodes could not be asked: no node answers on its admin port\n"
        )

    def test_wait_times_out(self, operator):
        answer = {"version": 3, "nodes": 2, "in_force": 1, "behind": ["n1"]}
        answer = {"/v1/convergence": {**answer, "complete": False}}
        url = operator.serve_admin(answer)
        arguments = ("catalogue", "wait", "3", "--timeout", "0.3", "--node", url)
        result = operator.run(*arguments)
        assert result.exit_code == ExitCode.WAIT_TIMEOUT
        assert result.stderr == (
            "version 3: in force on 1 of 2 nodes\n"
            "version 3 is in force on 1 of 2 nodes\n"
            "behind: n1\n"
        )

    def test_wait_without_a_convergence_answer_asks_every_node(self, operator):
        url, _ = serve_fleet(operator, [make_status(3, {"3": 1})] * 2)
        result = operator.run("catalogue", "wait", "3", "--node", url)
        assert result.exit_code == ExitCode.OK
        assert result.stdout == "version 3 is in force on all 2 nodes\n"

    def test_wait_without_nodes(self, operator):
        options = ("--timeout", "0.3", "--node", "http://127.0.0.1:1")
        result = operator.run("catalogue", "wait", "3", *options)
        assert result.exit_code == ExitCode.NODE_UNREACHABLE

    def test_answer_of_another_program(self, operator):
        url = operator.serve_admin({"/v1/nodes": [1, 2]})
        result = operator.run("audit", "--node", url)
        assert result.stderr == (
            f"nodes could not be asked: {url} does not answer: not a JSON object\n"
        )

    def test_explain(self, operator):
        endpoint = {
            "target_id": "t1",
            "data_centre": "kingston-1",
            "address": "127.0.0.1:7000",
            "state": "draining",
            "slots": 10,
            "load": 0.25,
            "why": "it is draining",
        }
        explanation = {
            "node_id": "n1",
            "version": 2,
            "path": "/inquiry/balance",
            "reason": "no-target",
            "entry": "balance",
            "owner": "branch",
            "service": "inquiry",
            "work_class": "read",
            "route": "/inquiry/balance",
            "limits": {"rate": 0.0, "retries": 2},
            "prefer": ["kingston-1"],
            "endpoints": [endpoint],
        }
        url = operator.serve_admin({"/v1/explain": explanation})
        result = operator.run("explain", "/inquiry/balance", "--node", url)
        lines = result.stdout.splitlines()
        assert lines[:9] == [
            "node n1 at version 2: /inquiry/balance",
            "  entry: balance",
            "  owner: branch",
            "  service: inquiry",
            "  work class: read",
            "  route: /inquiry/balance",
            "  limits: rate 0, retries 2",
            "  data centres in order: kingston-1",
            "  would be refused: no-target",
        ]
        assert " ".join(lines[10].split()) == (
            "t1 kingston-1 127.0.0.1:7000 draining 10 0.25 it is draining"
        )
