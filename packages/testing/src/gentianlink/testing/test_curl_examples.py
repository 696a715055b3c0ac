import asyncio
import pathlib

import pytest
from tornado.httpclient import AsyncHTTPClient

from gentianlink.core import headers as names
from gentianlink.testing.curl_examples import CurlExample, parse_curl_examples
from gentianlink.testing.demo import (
    CATALOGUE,
    apply_catalogue,
    has_version,
    wait_for,
)
from gentianlink.testing.fleet import Fleet

ROOT = pathlib.Path(__file__).parents[5]
CONTRACT = ROOT / "docs" / "CONTRACT.md"
PAGE = """\
Text.

```sh
curl -i -X PUT http://127.0.0.1:7000/a \\
  -H 'A: b: c' -d '{"x":
  1}'
# -> 200 done
curl http://127.0.0.1:7002/b
# -> 404
```
"""


@pytest.fixture
def fleet():
    fleet = Fleet("kingston")
    fleet.start_platform()
    member = fleet.add_member("redemption", 1, 1)
    fleet.start_node(member)
    fleet.start_target(member, slots=10, work_ms=1)
    yield fleet
    fleet.stop()


async def send(example, ports):
    response = await AsyncHTTPClient().fetch(
        example.get_url(ports),
        method=example.method,
        headers=example.headers,
        body=example.body,
        raise_error=False,
    )
    words = [str(response.code)]
    for name in (names.OUTCOME, names.REASON):
        if name in response.headers:
            words.append(response.headers[name])
    if names.REPLAY in response.headers:
        words.append("replay")
    return " ".join(words)


class TestCurlExamples:
    def test_commands_are_parsed(self):
        assert parse_curl_examples(PAGE) == [
            CurlExample(
                "PUT",
                "http://127.0.0.1:7000/a",
                {"A": "b: c"},
                '{"x":\n  1}',
                "200 done",
            ),
            CurlExample("GET", "http://127.0.0.1:7002/b", {}, None, "404"),
        ]

    def test_command_without_expected_result_is_an_error(self):
        with pytest.raises(ValueError, match="no expected result"):
            parse_curl_examples("```sh\ncurl http://127.0.0.1:7000/\n```\n")

    def test_contract_examples_give_expected_results(self, fleet):
        examples = parse_curl_examples(CONTRACT.read_text())
        member = fleet.members[0]
        ports = {
            7000: f"{member.address}:{member.call_port}",
            7002: f"{member.address}:{member.admin_port}",
        }

        async def run():
            await wait_for(fleet.members, lambda status: status["ready"])
            apply_catalogue(fleet, CATALOGUE, "test")
            await wait_for(fleet.members, has_version(1))
            await wait_for(
                fleet.members,
                lambda status: status["endpoints"]["/redemption/redeem"] == 1,
            )
            return [await send(example, ports) for example in examples]

        assert asyncio.run(run()) == [example.expected for example in examples]
