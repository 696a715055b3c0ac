import base64

import orjson
import pytest
from tornado.httpclient import AsyncHTTPClient
from typer.testing import CliRunner

from gentianlink.platform.wire import PRODUCT_TABLE, ROWS_TRANSACTION_PATH
from gentianlink.testing.fake_admin import FakeAdmin
from gentianlink.testing.platform_service import make_application
from gentianlink.testing.served_thread import ServedThread
from gentianlink.tools.main import make_application as make_command_line

CATALOGUE = """\
[service inquiry]
owner = branch

[entry balance]
owner = branch
service = inquiry
class = read
route = /inquiry/balance
deadline_ms = 800
"""


class Operator:
    """Runs the command line against a platform stand-in."""

    def __init__(self, thread, directory):
        self._thread = thread
        self._directory = directory
        self.platform_url = thread.serve(make_application())

    def run(self, *arguments, text=None):
        environment = {
            "GENTIANLINK_TABLE_URL": f"{self.platform_url}/table",
            "GENTIANLINK_OBJECT_URL": f"{self.platform_url}/objects",
        }
        strings = [str(argument) for argument in arguments]
        return CliRunner().invoke(
            make_command_line(), strings, input=text, env=environment
        )

    def write(self, text, name="catalogue.ini"):
        path = self._directory / name
        path.write_text(text)
        return path

    def apply(self, catalogue, *options, text=None):
        path = self.write(catalogue)
        command = ("catalogue", "apply", path, "--why", "test", "--who", "ann")
        return self.run(*command, *options, text=text)

    def set_faults(self, part, **faults):
        url = f"{self.platform_url}/faults/{part}"
        self._thread.run(_send("PUT", url, faults))

    def write_row(self, key, value):
        encoded = base64.b64encode(value.encode()).decode()
        row = {"table": PRODUCT_TABLE, "part": "", "key": key, "value": encoded}
        body = {"expected": [], "writes": [row], "deletes": []}
        url = f"{self.platform_url}/table{ROWS_TRANSACTION_PATH}"
        self._thread.run(_send("POST", url, body))

    def serve_admin(self, answers):
        return self._thread.serve(FakeAdmin(answers).make_application())


async def _send(method, url, value):
    await AsyncHTTPClient().fetch(url, method=method, body=orjson.dumps(value))


@pytest.fixture
def catalogue():
    return CATALOGUE


@pytest.fixture
def operator(tmp_path):
    with ServedThread() as thread:
        yield Operator(thread, tmp_path)
