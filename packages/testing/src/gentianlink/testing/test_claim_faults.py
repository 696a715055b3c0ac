"""Tests of at-most-once execution under faults of two real nodes and targets."""

import asyncio
import json
import signal
import time

import pytest
from tornado.httpclient import AsyncHTTPClient

from gentianlink.core import headers as names
from gentianlink.node.claims.store_breaker import FAILURES_TO_OPEN
from gentianlink.testing.demo import (
    CATALOGUE,
    apply_catalogue,
    get_status,
    has_version,
    wait_for,
)
from gentianlink.testing.faults import Faults
from gentianlink.testing.fleet import Fleet
from gentianlink.testing.soak.platform_faults import set_faults

PATH = "/redemption/redeem"
WORK_MS = 500.0
SETTLE_TIMEOUT_S = 15.0
CLIENT_TIMEOUT_S = 10.0
REFUSAL_BOUND_S = 0.5


@pytest.fixture(scope="class")
def fleet():
    fleet = Fleet("kingston")
    fleet.start_platform()
    for number in (1, 2):
        member = fleet.add_member("redemption", number, number)
        fleet.start_node(member)
        fleet.start_target(member, slots=10, work_ms=WORK_MS)
    asyncio.run(start(fleet))
    yield fleet
    fleet.stop()


async def start(fleet):
    await wait_for(fleet.members, lambda status: status["ready"])
    apply_catalogue(fleet, CATALOGUE, "test")
    await wait_until_converged(fleet)


async def wait_until_converged(fleet):
    await wait_for(fleet.members, lambda status: status["ready"])
    await wait_for(fleet.members, has_version(1))
    await wait_for(fleet.members, lambda status: status["endpoints"].get(PATH) == 2)


async def submit(member, key, deadline_ms=2000, headers=(), body="{}"):
    response = await AsyncHTTPClient().fetch(
        member.call_url + PATH,
        method="POST",
        body=body,
        headers={
            names.IDEMPOTENCY_KEY: key,
            names.DEADLINE_MS: str(deadline_ms),
            "X-Request-Id": key,
            **dict(headers),
        },
        request_timeout=CLIENT_TIMEOUT_S,
        raise_error=False,
    )
    return response.headers.get(names.OUTCOME), response.headers.get(names.REASON)


async def submit_until(member, key, is_expected):
    end_s = time.monotonic() + SETTLE_TIMEOUT_S
    while True:
        answer = await submit(member, key)
        if is_expected(answer) or time.monotonic() > end_s:
            return answer
        await asyncio.sleep(0.2)


async def send_raw(member, key):
    _, writer = await asyncio.open_connection(member.address, member.call_port)
    writer.write(
        f"POST {PATH} HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
        f"{names.IDEMPOTENCY_KEY}: {key}\r\n\r\n{{}}".encode()
    )
    return writer


async def count_results(fleet, result):
    statuses = [await get_status(member) for member in fleet.members]
    return sum(status["claims"].get(result, 0) for status in statuses)


async def get_counts(member):
    url = f"http://{member.address}:{member.target_port}/stand-in/counts"
    response = await AsyncHTTPClient().fetch(url)
    return json.loads(response.body)


async def count_executions(fleet, key):
    counts = [await get_counts(member) for member in fleet.members]
    return sum(item["executions"].get(key, 0) for item in counts)


async def wait_for_executing_member(fleet):
    end_s = time.monotonic() + SETTLE_TIMEOUT_S
    while time.monotonic() < end_s:
        for member in fleet.members:
            if (await get_counts(member))["in_flight"]:
                return member
        await asyncio.sleep(0.01)
    raise TimeoutError("no call arrived at a target")


async def run_holder_killed(fleet):
    await wait_until_converged(fleet)
    first = asyncio.ensure_future(submit(fleet.members[0], "killed"))
    holder = await wait_for_executing_member(fleet)
    holder.node.kill()
    await asyncio.gather(first, return_exceptions=True)
    survivor = next(item for item in fleet.members if item is not holder)
    answer = await submit(survivor, "killed")
    assert answer[0] == "unknown"
    fleet.start_node(holder)
    answer = await submit_until(
        survivor, "killed", lambda answer: answer == ("unknown", "outcome-unknown")
    )
    assert answer == ("unknown", "outcome-unknown")
    assert await count_executions(fleet, "killed") == 1


async def run_key_reused(fleet):
    await wait_until_converged(fleet)
    assert await submit(fleet.members[0], "reused") == ("done", None)
    answer = await submit(fleet.members[0], "reused", body="[]")
    assert answer == ("not-run", "key-reused")
    assert await count_results(fleet, "repeat-key-reused") == 1
    assert await count_executions(fleet, "reused") == 1


async def run_caller_disconnect(fleet):
    await wait_until_converged(fleet)
    caller = asyncio.ensure_future(send_raw(fleet.members[0], "gone"))
    await wait_for_executing_member(fleet)
    (await caller).close()
    answer = await submit_until(
        fleet.members[1], "gone", lambda answer: answer[0] == "done"
    )
    assert answer == ("done", None)
    assert await count_executions(fleet, "gone") == 1
    assert await count_results(fleet, "replayed") > 0


async def run_holder_frozen(fleet):
    await wait_until_converged(fleet)
    first = asyncio.ensure_future(submit(fleet.members[0], "paused", 5000))
    holder = await wait_for_executing_member(fleet)
    holder.node.send_signal(signal.SIGSTOP)
    other = next(item for item in fleet.members if item is not holder)
    answer = await submit(other, "paused", 200)
    assert answer[0] in ("unknown", "not-run")
    holder.node.send_signal(signal.SIGCONT)
    assert await first == ("done", None)
    answer = await submit_until(other, "paused", lambda answer: answer[0] == "done")
    assert answer == ("done", None)
    assert await count_executions(fleet, "paused") == 1


async def run_table_faults(fleet, key, faults, expected_answers):
    await wait_until_converged(fleet)
    await set_faults(fleet, "table", faults)
    answers = [await submit(member, key, 700) for member in fleet.members]
    assert set(answers) <= expected_answers
    assert await count_executions(fleet, key) == 0
    await set_faults(fleet, "table")
    answer = await submit_until(
        fleet.members[1], key, lambda answer: answer[0] == "done"
    )
    assert answer == ("done", None)
    assert await submit(fleet.members[0], key) == ("done", None)
    assert await count_executions(fleet, key) == 1


async def run_lost_answers_to_result_writes(fleet):
    await wait_until_converged(fleet)
    first = asyncio.ensure_future(submit(fleet.members[0], "record"))
    await wait_for_executing_member(fleet)
    await set_faults(fleet, "table", Faults(lose_answers=True))
    assert await first == ("done", None)
    answer = await submit(fleet.members[1], "record", 500)
    assert answer[0] in ("unknown", "not-run")
    await set_faults(fleet, "table")
    answer = await submit_until(
        fleet.members[1], "record", lambda answer: answer[0] == "done"
    )
    assert answer == ("done", None)
    assert await count_executions(fleet, "record") == 1


async def run_frozen_table(fleet):
    await wait_until_converged(fleet)
    await set_faults(fleet, "table", Faults(frozen=True))
    member, *_ = fleet.members
    local_target = {names.TARGET: f"target-{member.node_id}"}
    for number in range(FAILURES_TO_OPEN):
        await submit(member, f"frozen-{number}", 100, local_target)
    started_s = time.monotonic()
    answer = await submit(member, "breaker", headers=local_target)
    elapsed_s = time.monotonic() - started_s
    assert answer == ("not-run", "store-unavailable")
    assert elapsed_s < REFUSAL_BOUND_S
    await set_faults(fleet, "table")
    answer = await submit_until(member, "breaker", lambda answer: answer[0] == "done")
    assert answer == ("done", None)
    assert await count_executions(fleet, "breaker") == 1


UNRESOLVED = {("unknown", "store-unavailable"), ("unknown", "target-silent")}
REFUSED = {("not-run", "store-unavailable")}


class TestClaimFaults:
    @pytest.mark.proves("at-most-once", "kill", "dispatch")
    @pytest.mark.proves("at-most-once", "kill", "restart")
    def test_holder_killed_between_claim_and_answer(self, fleet):
        asyncio.run(run_holder_killed(fleet))

    def test_reused_key_is_refused_and_counted_once(self, fleet):
        asyncio.run(run_key_reused(fleet))

    @pytest.mark.proves("at-most-once", "cut", "answer")
    def test_caller_disconnects_during_execution(self, fleet):
        asyncio.run(run_caller_disconnect(fleet))

    @pytest.mark.proves("at-most-once", "freeze", "answer")
    def test_holder_frozen_during_execution(self, fleet):
        asyncio.run(run_holder_frozen(fleet))

    @pytest.mark.proves("at-most-once", "answer-lost", "answer")
    def test_table_answers_to_result_writes_lost(self, fleet):
        asyncio.run(run_lost_answers_to_result_writes(fleet))

    @pytest.mark.proves("at-most-once", "table-down", "claim")
    @pytest.mark.proves("not-run", "table-down", "claim")
    def test_table_down(self, fleet):
        asyncio.run(run_table_faults(fleet, "down", Faults(down=True), REFUSED))

    @pytest.mark.proves("at-most-once", "answer-lost", "claim")
    @pytest.mark.proves("not-run", "answer-lost", "claim")
    @pytest.mark.parametrize(
        ("key", "faults"),
        [
            ("lost", Faults(lose_answers=True)),
            ("late", Faults(land_late_ms=400)),
            ("frozen", Faults(frozen=True)),
        ],
    )
    def test_table_answers_to_claim_writes_lost(self, fleet, key, faults):
        work = run_table_faults(fleet, key, faults, UNRESOLVED | REFUSED)
        asyncio.run(work)

    @pytest.mark.proves("not-run", "silent", "claim")
    def test_calls_are_refused_at_once_while_the_table_is_frozen(self, fleet):
        asyncio.run(run_frozen_table(fleet))
