"""Poll a node for the version in force."""

import asyncio

import orjson
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from gentianlink.node.clock import get_now_ms
from gentianlink.testing.checks.version_record import VersionRecord

PERIOD_S = 0.2
TIMEOUT_S = 1.0


async def observe_node(member, observations):
    """Poll one node and record its readiness and version until cancelled.

    Parameters
    ----------
    member : Member
        The node.
    observations : Observations
        Receives the records.
    """
    while True:
        status = await _get_status(member)
        if status is None or not status["ready"]:
            observations.ready.discard(member.node_id)
        else:
            observations.ready.add(member.node_id)
            record = VersionRecord(
                member.node_id, get_now_ms(), status["version"], status["digest"]
            )
            observations.versions.append(record)
        await asyncio.sleep(PERIOD_S)


async def _get_status(member):
    url = f"{member.admin_url}/v1/status"
    try:
        response = await AsyncHTTPClient().fetch(url, request_timeout=TIMEOUT_S)
        return orjson.loads(response.body)
    except (HTTPClientError, OSError, orjson.JSONDecodeError):
        return None
