"""Client of the admin ports of nodes."""

import asyncio
import urllib.parse

import orjson
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from gentianlink.store.admin_rows import read_admin_rows
from gentianlink.tools.errors import NodeAnswerInvalid, NodeUnreachable, NoNodeFound
from gentianlink.tools.fleet_convergence import FleetConvergence, compute_convergence
from gentianlink.tools.fleet_node import FleetNode
from gentianlink.tools.node_view import NodeView

MAX_CONCURRENT_REQUESTS = 32
MAX_ANSWER_BYTES = 16 << 20
ROWS_PER_SCAN = 64
PROBES_PER_BATCH = 8
LIVE_STATES = ("alive", "suspect")
STATUS_NOT_FOUND = 404


class NodeClient:
    """Finds the nodes of the fleet and sends requests to their admin ports.

    Parameters
    ----------
    admin_urls : sequence of str
        URLs of admin ports; empty to look them up in the table service.
    table : TableClient or None
        The table service; None if URLs are given.
    timeout_ms : int
        Timeout of each request in milliseconds.
    """

    def __init__(self, admin_urls, table, timeout_ms):
        self._admin_urls = tuple(admin_urls)
        self._table = table
        self._timeout_ms = timeout_ms
        self._found_url = ""
        self._semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def find_admin_url(self):
        """Return the URL of an admin port that answers.

        Returns
        -------
        str
            The URL.

        Raises
        ------
        NoNodeFound
            If no node answers.
        PlatformError
            If the table service is needed and does not answer.
        """
        if self._found_url and await self._probe(self._found_url):
            return self._found_url
        async for urls in self._iterate_url_batches():
            probes = [self._probe(url) for url in urls]
            for url, is_reached in zip(
                urls, await asyncio.gather(*probes), strict=True
            ):
                if is_reached:
                    self._found_url = url
                    return url
        raise NoNodeFound("no node answers on its admin port")

    async def _iterate_url_batches(self):
        if self._admin_urls:
            yield self._admin_urls
            return
        after = ""
        while True:
            rows = await read_admin_rows(self._table, after, ROWS_PER_SCAN)
            urls = [f"http://{row.value}" for row in rows]
            for start in range(0, len(urls), PROBES_PER_BATCH):
                yield urls[start : start + PROBES_PER_BATCH]
            if len(rows) < ROWS_PER_SCAN:
                return
            after = rows[-1].key

    async def _probe(self, url):
        try:
            await self.get(url, "/healthz")
        except NodeUnreachable:
            return False
        return True

    async def get(self, url, path):
        """Send a GET request to an admin port.

        Parameters
        ----------
        url : str
            URL of the admin port.
        path : str
            Path with the query.

        Returns
        -------
        dict
            The decoded answer.

        Raises
        ------
        NodeUnreachable
            If the node does not answer or answers with an error status.
        NodeAnswerInvalid
            If the node does not serve the path, or the answer is not a JSON object.
        """
        async with self._semaphore:
            response = await self._fetch(url, path)
        try:
            answer = orjson.loads(response.body)
        except orjson.JSONDecodeError as error:
            raise NodeAnswerInvalid(url, "not JSON") from error
        if not isinstance(answer, dict):
            raise NodeAnswerInvalid(url, "not a JSON object")
        return answer

    async def _fetch(self, url, path):
        client = AsyncHTTPClient(
            max_body_size=MAX_ANSWER_BYTES, max_clients=MAX_CONCURRENT_REQUESTS
        )
        request = HTTPRequest(
            url + path,
            connect_timeout=self._timeout_ms / 1000,
            request_timeout=self._timeout_ms / 1000,
        )
        try:
            return await client.fetch(request)
        except HTTPClientError as error:
            if error.code == STATUS_NOT_FOUND:
                raise NodeAnswerInvalid(url, f"no {path}") from error
            raise NodeUnreachable(url, f"status {error.code}") from error
        except (OSError, ValueError) as error:
            raise NodeUnreachable(url, type(error).__name__) from error

    async def find_nodes(self):
        """Return the live nodes in the membership view of the first node that answers.

        Returns
        -------
        list of FleetNode
            Nodes in the order of their names.

        Raises
        ------
        NoNodeFound
            If no node answers.
        """
        url = await self.find_admin_url()
        answer = await self.get(url, "/v1/nodes")
        try:
            nodes = [_decode_node(item) for item in answer["nodes"]]
        except (KeyError, TypeError) as error:
            raise NodeAnswerInvalid(url, "no nodes") from error
        live = [node for node in nodes if node.state in LIVE_STATES]
        return sorted(live, key=lambda node: node.node_id)

    async def read_reports(self):
        """Return the state of every live node, as its admin port reports it.

        Returns
        -------
        list of NodeView
            A report for each node, including nodes that don't answer.

        Raises
        ------
        NoNodeFound
            If no node answers.
        """
        nodes = await self.find_nodes()
        return await asyncio.gather(*(self._read_report(node) for node in nodes))

    async def _read_report(self, node):
        try:
            answer = await self.get(node.admin_url, "/v1/status")
            return _decode_report(node, answer)
        except (NodeUnreachable, KeyError, TypeError, ValueError, AttributeError):
            return NodeView(node)

    async def read_convergence(self, version):
        """Return the convergence of the fleet on a version.

        One node answers for the whole fleet, from the node reports that collectors
        gather. If it gives no valid answer, every node is asked for its own state.

        Parameters
        ----------
        version : int
            The version.

        Returns
        -------
        FleetConvergence
            Counts and the names of the nodes behind.

        Raises
        ------
        NoNodeFound
            If no node answers.
        """
        url = await self.find_admin_url()
        try:
            answer = await self.get(url, f"/v1/convergence?version={version}")
            return _decode_convergence(answer)
        except (NodeAnswerInvalid, KeyError, TypeError):
            return compute_convergence(await self.read_reports(), version)

    async def explain(self, path):
        """Return how a node would route a call.

        Parameters
        ----------
        path : str
            Path of the call without its query.

        Returns
        -------
        dict
            The node's explanation.
        """
        url = await self.find_admin_url()
        query = urllib.parse.urlencode({"path": path})
        return await self.get(url, f"/v1/explain?{query}")


def _decode_node(item):
    address = item["address"]
    host = f"[{address}]" if ":" in address else address
    return FleetNode(
        node_id=item["node_id"],
        data_centre=item["data_centre"],
        state=item["state"],
        admin_url=f"http://{host}:{item['admin_port']}",
    )


def _decode_report(node, answer):
    return NodeView(
        node=node,
        is_reached=True,
        is_ready=bool(answer["ready"]),
        version=int(answer["version"]),
        applied_ms={
            int(version): int(when) for version, when in answer["applied_ms"].items()
        },
        refused={
            int(version): str(why) for version, why in answer.get("refused", {}).items()
        },
        platform_failure=str(answer.get("platform_failure", "")),
    )


def _decode_convergence(answer):
    return FleetConvergence(
        version=answer["version"],
        nodes=answer["nodes"],
        in_force=answer["in_force"],
        behind=tuple(answer["behind"]),
        complete=answer["complete"],
    )
