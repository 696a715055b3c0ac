"""Requests to other nodes for versions, and for fences of calls."""

import orjson

from gentianlink.core.errors import PlatformError, PlatformUnavailable
from gentianlink.core.field_checks import UNREADABLE, check_number
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.log import get_logger
from gentianlink.sidecar.exchange.peer_paths import (
    FENCE_PATH,
    FOLLOW_PATH_PREFIX,
    FOLLOW_TIMEOUT_MS,
    PREFIXES,
    RULES_FORMS,
    RULES_PATH_PREFIX,
)
from gentianlink.sidecar.status import STATUS_NOT_FOUND, STATUS_OK

_LOG = get_logger("peers")

# Nodes that are tried, one after another, to fetch a version.
MAX_FETCH_ATTEMPTS = 4


class PeerRequests:
    """Sends requests other than exchanges of state to other nodes.

    Parameters
    ----------
    directory : PeerDirectory
        Records of the nodes.
    connections : PeerConnections
        Connections to other nodes.
    """

    def __init__(self, directory, connections):
        self._directory = directory
        self._connections = connections

    def probe(self, record):
        """Find out whether a node that has not answered is lost.

        Parameters
        ----------
        record : PeerRecord
            Record of the node.
        """
        raise NotImplementedError

    async def fetch_rules(self, version):
        """Fetch the delta to a version newer than this node's from any node.

        Parameters
        ----------
        version : int
            Version in force at this node.

        Returns
        -------
        bytes or None
            Encoded delta, None if no node returned one.
        """
        holders = self._directory.get_holders(version + 1)
        # If no node is known to have a newer version, one node is asked for it anyway.
        holders = holders or self._directory.get_holders(0)[:1]
        for record in holders[:MAX_FETCH_ATTEMPTS]:
            try:
                delta = await self._request(record, f"{RULES_PATH_PREFIX}{version}")
            except PlatformError as error:
                now_ms = get_monotonic_ms()
                self._directory.note_lost(record.node_id, f"rules: {error}", now_ms)
                self.probe(record)
                continue
            if delta:
                return delta
        return None

    async def follow_rules(self, record, version):
        """Long-poll a node for a version newer than this node's.

        Parameters
        ----------
        record : PeerRecord
            The node.
        version : int
            Version in force at this node.

        Returns
        -------
        bytes
            Encoded delta, empty if the long poll ended without a newer version.

        Raises
        ------
        PlatformError
            If the node does not answer or has lost the table service.
        """
        path = f"{FOLLOW_PATH_PREFIX}{version}"
        return await self._request(record, path, FOLLOW_TIMEOUT_MS)

    async def _request(self, record, path, timeout_ms=None):
        connections = self._connections.get(record.peer_address)
        for form in RULES_FORMS:
            answer = await connections.send(
                "GET", PREFIXES[form] + path, timeout_ms=timeout_ms
            )
            if answer.code != STATUS_NOT_FOUND:
                break
        if answer.code != STATUS_OK:
            raise PlatformUnavailable(f"status {answer.code}")
        return answer.body

    async def fence(
        self, node_id, incarnation, request_id, remaining_ms, timeout_ms=None
    ):
        """Ask a node to fence a call: never to send it to its target.

        Parameters
        ----------
        node_id : str
            Name of the node.
        incarnation : int
            Incarnation to which the call was forwarded.
        request_id : str
            Id of the call.
        remaining_ms : float
            Time until the call's time limit in milliseconds.
        timeout_ms : int, optional
            Longest wait in milliseconds, in place of that of other requests.

        Returns
        -------
        float
            Time in milliseconds before the answer: if the call was forwarded within it,
            it has not been sent to the target and never will be. 0 if this is not
            certain.
        """
        record = self._directory.get(node_id)
        if record is None:
            return 0.0
        body = orjson.dumps(
            {
                "id": request_id,
                "incarnation": incarnation,
                "remaining_ms": remaining_ms,
            }
        )
        connections = self._connections.get(record.peer_address)
        try:
            answer = await connections.send("POST", FENCE_PATH, body, timeout_ms)
        except PlatformError as error:
            _LOG.info("fence unanswered", id=request_id, peer=node_id, why=str(error))
            return 0.0
        return _decode_covered_ms(answer, request_id)


def _decode_covered_ms(answer, request_id):
    """Return the time that the answer to a fence covers; it must name the call.

    A node of an earlier release answers without a time, which covers nothing: its log
    may have forgotten the call.
    """
    if answer.code != STATUS_OK:
        return 0.0
    try:
        value = orjson.loads(answer.body)
        is_of_call = value["id"] == request_id
        return check_number(value["covered_ms"]) if is_of_call else 0.0
    except UNREADABLE:
        return 0.0
