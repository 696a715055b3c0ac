import asyncio
import json
import pathlib
import signal
import socket
import subprocess
import sys

import pytest
from tornado.httpclient import AsyncHTTPClient
from tornado.simple_httpclient import HTTPStreamClosedError
from typer.testing import CliRunner

from gentianlink.core.announcement import Announcement
from gentianlink.core.codec import encode
from gentianlink.node.exit_code import NodeExitCode
from gentianlink.testing.demo import apply_catalogue, get_status, wait_for
from gentianlink.testing.fleet import NODE_SETTINGS, Fleet
from gentianlink.testing.loopback import get_own_address, get_ports
from gentianlink.tools.main import make_application as make_command_line

CATALOGUE = """\
[service inquiry]
owner = branch
[entry balance]
owner = branch
service = inquiry
class = at-most-once
route = /inquiry/balance
deadline_ms = 20000
"""
SLOW_MS = 1500
VERY_SLOW_MS = 15_000
SECOND_SIGNAL_BOUND_S = 3
ADDRESS = get_own_address(1)


class Process:
    """Fleet of one node process with its target and the platform stand-in."""

    def __init__(self, directory):
        self.fleet = Fleet("kingston")
        self._catalogue = directory / "catalogue.ini"
        self._catalogue.write_text(CATALOGUE)
        self.fleet.start_platform()
        self.member = self.fleet.add_member("inquiry", 1, 1)
        self.fleet.start_node(self.member)

    async def start(self, work_ms):
        self.fleet.start_target(self.member, slots=2, work_ms=work_ms)
        await wait_for([self.member], lambda status: status["ready"])
        await asyncio.to_thread(apply_catalogue, self.fleet, self._catalogue, "test")
        await wait_for(
            [self.member], lambda status: list(status["endpoints"].values()) == [1]
        )

    async def begin_call(self):
        call = AsyncHTTPClient().fetch(
            self.member.call_url + "/inquiry/balance",
            method="POST",
            body=b"{}",
            headers={"Idempotency-Key": "k1", "X-Request-Id": "r1"},
            request_timeout=30,
            raise_error=False,
        )
        task = asyncio.ensure_future(call)
        await wait_for([self.member], lambda status: status["in_flight"] == 1)
        return task

    async def begin_call_with_key(self, key):
        return asyncio.ensure_future(
            AsyncHTTPClient().fetch(
                self.member.call_url + "/inquiry/balance",
                method="POST",
                body=b"{}",
                headers={"Idempotency-Key": key},
            )
        )

    def run_command(self, words):
        url = self.fleet.platform_url
        environment = {
            "GENTIANLINK_TABLE_URL": f"{url}/table",
            "GENTIANLINK_OBJECT_URL": f"{url}/objects",
        }
        result = CliRunner().invoke(make_command_line(), words, env=environment)
        assert result.exit_code == 0, result.output
        return json.loads(result.stdout)

    async def request_admin(self, path, method="GET", body=None):
        response = await AsyncHTTPClient().fetch(
            self.member.admin_url + path, method=method, body=body, raise_error=False
        )
        return response.code, json.loads(response.body)

    async def wait_until_not_ready(self):
        while (await self.request_admin("/readyz"))[0] != 503:
            await asyncio.sleep(0.01)

    def signal(self, number):
        self.member.node.send_signal(number)

    def wait(self, timeout_s):
        return asyncio.to_thread(self.member.node.wait, timeout_s)


@pytest.fixture
def process(tmp_path):
    process = Process(tmp_path)
    yield process
    if process.member.target is not None:
        process.member.target.kill()
    process.fleet.stop()


async def run_operator_commands(process):
    await process.start(work_ms=1)
    await (await process.begin_call_with_key("k0"))
    url = process.member.admin_url
    answers = {}
    for words in (
        ("status", "--json"),
        ("audit", "--json"),
        ("catalogue", "wait", "1", "--json"),
        ("explain", "/inquiry/balance/7", "--node", url, "--json"),
    ):
        answers[words[0]] = await asyncio.to_thread(process.run_command, words)
    response = await AsyncHTTPClient().fetch(url + "/metrics")
    return answers, response.body.decode()


async def run_graceful_stop(process):
    await process.start(SLOW_MS)
    call = await process.begin_call()
    process.signal(signal.SIGTERM)
    await process.wait_until_not_ready()
    heartbeat = Announcement("inquiry", "target-inquiry-1", 1, 2, "ready")
    target_answer = await process.request_admin(
        "/v1/targets", "POST", encode(heartbeat)
    )
    response = await call
    assert await process.wait(10) == NodeExitCode.STOPPED
    return target_answer, response


async def run_stop_during_upload(process):
    await process.start(work_ms=1)
    member = process.member
    reader, writer = await asyncio.open_connection(member.address, member.call_port)
    writer.write(b"POST /inquiry/balance HTTP/1.1\r\nHost: a\r\n")
    writer.write(b"Idempotency-Key: k1\r\nContent-Length: 2\r\n\r\n{")
    await writer.drain()
    await process.request_admin("/healthz")
    process.signal(signal.SIGTERM)
    await wait_until_refused(member.address, member.call_port)
    writer.write(b"}")
    head = await reader.readuntil(b"\r\n\r\n")
    code = await process.wait(10)
    writer.close()
    return head.decode().lower(), code


async def wait_until_refused(address, port):
    while True:
        try:
            _, writer = await asyncio.open_connection(address, port)
        except ConnectionRefusedError:
            return
        writer.close()
        await asyncio.sleep(0.02)


async def run_second_signal(process):
    await process.start(VERY_SLOW_MS)
    call = await process.begin_call()
    process.signal(signal.SIGTERM)
    await process.wait_until_not_ready()
    process.signal(signal.SIGTERM)
    code = await process.wait(SECOND_SIGNAL_BOUND_S)
    with pytest.raises(HTTPStreamClosedError):
        await call
    return code


async def run_reload(process):
    await wait_for([process.member], lambda status: status["ready"])
    path = pathlib.Path(process.fleet.log_path).parent / "inquiry-1.ini"
    path.write_text(path.read_text() + "[log]\nlevel = debug\nformat = console\n")
    process.signal(signal.SIGHUP)
    while "settings read again" not in process.fleet.log_path.read_text():
        await asyncio.sleep(0.02)
    assert (await get_status(process.member))["ready"]
    path.write_text("nonsense")
    return await process.request_admin("/v1/reload", "POST", b"")


def run_node_with_ports(directory, ports):
    """Run a node until it exits; return its exit code and its standard error."""
    names = ("call_port", "mesh_port", "admin_port")
    values = dict(zip(names, ports, strict=True))
    text = NODE_SETTINGS.format(
        node_id="n1",
        region="kingston",
        data_centre="kingston-1",
        address=ADDRESS,
        platform_url="http://127.0.0.1:1",
        mesh_settings="",
        **values,
    )
    path = directory / "n1.ini"
    path.write_text(text)
    binary = pathlib.Path(sys.executable).parent / "gentianlink-node"
    result = subprocess.run(
        [str(binary), str(path)], capture_output=True, text=True, timeout=20
    )
    return result.returncode, result.stderr


class TestNodeProcess:
    def test_output_of_operator_commands(self, process):
        answers, metrics = asyncio.run(run_operator_commands(process))
        assert answers["status"]["nodes"] == [
            {
                "node_id": "inquiry-1",
                "data_centre": "kingston-1",
                "reached": True,
                "ready": True,
                "version": 1,
                "why": "",
            }
        ]
        nodes = answers["audit"]["changes"][0]["nodes"]
        assert [(item["node_id"], item["why_not"]) for item in nodes] == [
            ("inquiry-1", "")
        ]
        assert answers["catalogue"]["complete"]
        endpoints = answers["explain"]["endpoints"]
        assert answers["explain"]["entry"] == "balance"
        assert [(item["target_id"], item["why"]) for item in endpoints] == [
            ("target-inquiry-1", "takes new work")
        ]
        assert 'calls_by_class{class="at-most-once",outcome="done"} 1\n' in metrics
        assert 'gentianlink_slots{target="target-inquiry-1",use="free"} 2\n' in metrics

    @pytest.mark.proves("no-cut", "none", "stop")
    @pytest.mark.proves("own-answer", "none", "stop")
    def test_call_in_flight_completes_during_a_stop(self, process):
        target_answer, response = asyncio.run(run_graceful_stop(process))
        status, answer = target_answer
        assert (status, answer["draining"]) == (200, True)
        assert response.code == 200
        assert json.loads(response.body) == {"target": "target-inquiry-1", "echo": "r1"}

    @pytest.mark.proves("not-run", "none", "drain")
    def test_call_with_incomplete_body_is_answered_during_a_stop(self, process):
        head, code = asyncio.run(run_stop_during_upload(process))
        assert "x-gentianlink-outcome: not-run" in head
        assert code == NodeExitCode.STOPPED

    def test_second_signal_ends_the_process_at_once(self, process):
        assert asyncio.run(run_second_signal(process)) == NodeExitCode.KILLED

    def test_sighup_reloads_the_settings(self, process):
        status, answer = asyncio.run(run_reload(process))
        assert (status, answer["type"]) == (422, "SettingsInvalid")
        text = process.fleet.log_path.read_text()
        assert "applied=('log.level', 'log.format') needs_restart=()" in text

    @pytest.mark.parametrize("index", [0, 1, 2])
    def test_port_in_use(self, tmp_path, index):
        ports = get_ports(3)
        with socket.socket() as occupied:
            occupied.bind((ADDRESS, ports[index]))
            occupied.listen()
            code, output = run_node_with_ports(tmp_path, ports)
        assert code == NodeExitCode.CANNOT_LISTEN
        key = ("call_port", "mesh_port", "admin_port")[index]
        lines = output.splitlines()
        assert (
            f"[listen] {key}: can't listen on {ADDRESS}:{ports[index]}: " in lines[-1]
        )
        assert "Traceback" not in output
