"""Callers that send calls at a fixed mean rate and repeat some submissions."""

import asyncio

import orjson
from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.simple_httpclient import HTTPStreamClosedError, HTTPTimeoutError

from gentianlink.core import headers as names
from gentianlink.node.background import start_task
from gentianlink.node.clock import get_now_ms
from gentianlink.testing.checks.call_record import CallRecord

CALL_TIMEOUT_S = 5.0
MAX_CLIENTS = 500

NEVER_SENT = "never-sent"
REPEAT_SHARE = 0.2


async def send_call(member, path, key, request_id):
    """Send one call and record it as its caller observes it.

    Parameters
    ----------
    member : Member
        Node to send to.
    path : str
        Path of the call.
    key : str
        Idempotency key; empty for none.
    request_id : str
        Identifier of the submission.

    Returns
    -------
    CallRecord
        Record of the call.
    """
    headers = {"X-Request-Id": request_id}
    if key:
        headers[names.IDEMPOTENCY_KEY] = key
    body = orjson.dumps({"key": key})
    request = HTTPRequest(
        member.call_url + path,
        method="POST",
        body=body,
        headers=headers,
        request_timeout=CALL_TIMEOUT_S,
    )
    sent_ms = get_now_ms()
    status, outcome, reason, echo, version, replayed = 0, "", "", "", 0, False
    try:
        client = AsyncHTTPClient(max_clients=MAX_CLIENTS)
        response = await client.fetch(request, raise_error=False)
        status = response.code
        outcome = response.headers.get(names.OUTCOME, "")
        reason = response.headers.get(names.REASON, "")
        version = int(response.headers.get(names.VERSION, "0"))
        replayed = names.REPLAY in response.headers
        echo = _get_echo(response.body)
    except ConnectionRefusedError:
        outcome = NEVER_SENT
    except (HTTPStreamClosedError, HTTPTimeoutError, OSError):
        status = 0
    return CallRecord(
        request_id=request_id,
        path=path,
        key=key,
        node_id=member.node_id,
        sent_ms=sent_ms,
        ended_ms=get_now_ms(),
        status=status,
        outcome=outcome,
        echo=echo,
        version=version,
        replayed=replayed,
        reason=reason,
    )


def _get_echo(body):
    try:
        return orjson.loads(body).get("echo", "")
    except (orjson.JSONDecodeError, AttributeError):
        return ""


class Load:
    """Sends calls of one deployment to its nodes.

    Parameters
    ----------
    deployment : Deployment
        The deployment.
    members : list of Member
        Members whose nodes get the calls.
    observations : Observations
        Receives the records of the calls.
    rng : random.Random
        Source of randomness.
    """

    def __init__(self, deployment, members, observations, rng):
        self._deployment = deployment
        self._members = members
        self._observations = observations
        self._rng = rng
        self._count = 0
        self._tasks = set()

    async def run(self, rate, until_ms):
        """Send calls until a point in time, then wait for their answers.

        Parameters
        ----------
        rate : float
            Calls per second.
        until_ms : int
            End in milliseconds since the epoch.
        """
        while get_now_ms() < until_ms:
            self._start_call()
            await asyncio.sleep(self._rng.expovariate(rate))
        if self._tasks:
            await asyncio.wait(self._tasks)

    def _start_call(self):
        member = self._choose_member()
        if member is None:
            return
        self._count += 1
        name = f"{self._deployment.region}-{self._count}"
        path = self._rng.choice(sorted(self._deployment.paths))
        task = start_task(self._submit(member, path, name), "submission")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _choose_member(self):
        ready = [
            member
            for member in self._members
            if member.node_id in self._observations.ready
        ]
        return self._rng.choice(ready) if ready else None

    async def _submit(self, member, path, name):
        is_at_most_once = self._deployment.paths[path]
        key = name if is_at_most_once else ""
        record = await send_call(member, path, key, f"{name}-1")
        self._observations.calls.append(record)
        if is_at_most_once and self._should_repeat(record):
            other = self._choose_member()
            if other is not None:
                second = await send_call(other, path, key, f"{name}-2")
                self._observations.calls.append(second)

    def _should_repeat(self, record):
        return record.outcome != "done" or self._rng.random() < REPEAT_SHARE
