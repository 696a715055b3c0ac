"""Sidecars in one event loop with scripted targets and a stand-in of the platform."""

import asyncio

import orjson
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from gentianlink.core.target_state import TargetState
from gentianlink.parser.settings_sections import parse_sections
from gentianlink.platform import wire
from gentianlink.sidecar.exchange.peer_codec import decode_record
from gentianlink.sidecar.hop import Hop
from gentianlink.sidecar.settings import SidecarSettings
from gentianlink.sidecar.sidecar import Sidecar
from gentianlink.testing.flaky_gateway import FlakyGateway
from gentianlink.testing.loopback import get_own_address, get_ports
from gentianlink.testing.platform_service import make_application
from gentianlink.testing.raw_http import exchange
from gentianlink.testing.scripted_target import ScriptedTarget

HOST = "shop.example"
STARTED_MS = 1_700_000_000_000
DEADLINE_MS = 2000
SLOTS = 4
LINK_MBPS = 100.0
SETTINGS = """
[node]
id = {node_id}
region = south
data_centre = {data_centre}
address = {host}
link_mbps = {link_mbps}

[listen]
calls = {calls}
forwards = {forwards}
ready = {ready}
control = {control}
internal_ports = {peers},{peers}

[target]
address = {target}
service = {service}

[platform]
table_url = {platform}/table
timeout_ms = 500

[deployment]
bounds = drain_s=2,grace_s=2,budget_ratio=0.2,budget_window_s=10,budget_extra=60
is_first_start = true
"""


def make_rule(name, prefix, service, kind="safe", **changes):
    """Return a rule in the JSON form that operators write."""
    rule = {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout_s": 2,
        "target_latency_s": 0.5,
        "priority": 1,
        "attempts": 2,
        "service": service,
        "traffic_split": None,
    }
    return rule | changes


def encode_catalogue(version, rules, services=("inquiry", "registry"), **limits):
    """Return a version of the catalogue in the JSON form that operators write.

    Parameters
    ----------
    version : int
        Version number.
    rules : list of dict
        Rules in the form of `make_rule`.
    services : sequence of str, optional
        Names of the services.
    **limits : float
        Limits for callers besides the idle timeout.

    Returns
    -------
    bytes
        Value of the operator's row in the table service.
    """
    columns = list(make_rule("", "", ""))
    return orjson.dumps(
        {
            "version": f"r{version}",
            "routes": {
                "columns": columns,
                "rows": [[rule[name] for name in columns] for rule in rules],
            },
            "services": {"columns": ["name"], "rows": [[name] for name in services]},
            "limits": {"idle_timeout_s": 15, **limits},
        }
    )


RULES = [
    make_rule("read", "/read/", "inquiry"),
    make_rule("buy", "/buy/", "inquiry", kind="unsafe"),
]


class SidecarNode:
    """Sidecar and its scripted target.

    Parameters
    ----------
    number : int
        Number of the node within the world, starting at 1.
    service : str
        Service of the target.
    platform_url : str
        URL of the platform stand-in.
    data_centre : str
        Data centre of the node.
    """

    def __init__(self, number, service, platform_url, data_centre):
        host = get_own_address(number)
        names = ("calls", "forwards", "ready", "control", "peers", "target")
        ports = dict(zip(names, get_ports(len(names)), strict=True))
        self._fields = {name: f"{host}:{port}" for name, port in ports.items()}
        self._fields["peers"] = ports["peers"]
        self._fields |= {
            "node_id": f"node-{number}",
            "host": host,
            "service": service,
            "platform": platform_url,
            "data_centre": data_centre,
            "link_mbps": LINK_MBPS,
        }
        self.target = ScriptedTarget(
            f"target-{number}", service, self._fields["target"]
        )
        self._task = None
        self._stop_requested = None
        self.sidecar = None
        self._sequence = 0

    @property
    def calls_address(self):
        """IP address and port for callers."""
        return self._fields["calls"]

    @property
    def peer_address(self):
        """IP address and port for other nodes."""
        return f"{self._fields['host']}:{self._fields['peers']}"

    def start(self):
        """Start the sidecar."""
        settings, problems = parse_sections(
            SETTINGS.format(**self._fields), "test", SidecarSettings
        )
        assert not problems, problems
        self.sidecar = Sidecar.from_settings(settings)
        self._stop_requested = asyncio.Event()
        self._task = asyncio.create_task(self.sidecar.run(self._stop_requested))

    def request_stop(self):
        """Request a graceful stop, as SIGTERM does, and return the task to wait for."""
        self._stop_requested.set()
        return self._task

    async def kill(self):
        """Cancel the sidecar without a graceful stop, to simulate a crash."""
        self._task.cancel()
        await asyncio.wait([self._task])
        await self.sidecar.close()

    async def send_heartbeat(self, state="ready", started_ms=STARTED_MS, **changes):
        """Send a heartbeat of the target and return the HTTP status."""
        self._sequence += 1
        body = {
            "service": self.target.service,
            "address": self.target.address,
            "zone": self._fields["data_centre"],
            "version": "v1",
            "capacity": SLOTS,
            "state": state,
            "cold_left_s": 0,
            "sequence": self._sequence,
            "born": started_ms,
        } | changes
        target_id = changes.get("id", self.target.target_id)
        line = f"PUT {wire.ANNOUNCE_PATH_PREFIX}{target_id} HTTP/1.1"
        answer = await exchange(
            self._fields["control"], line, {"Host": "control"}, orjson.dumps(body)
        )
        return answer.status

    def make_hop(self, latency_ms=500.0, is_repeatable=True):
        """Return the metadata of a call that another node forwards to this one.

        Parameters
        ----------
        latency_ms : float, optional
            Target latency in milliseconds, all of which is left.
        is_repeatable : bool, optional
            Whether a second execution does no harm.

        Returns
        -------
        Hop
            Metadata of a call of the rule `read`.
        """
        return Hop(
            incarnation=self.sidecar._directory.own.incarnation,
            target_id=self.target.target_id,
            rule_name="read",
            priority=1,
            latency_ms=latency_ms,
            target_latency_ms=latency_ms,
            may_wait=True,
            is_repeatable=is_repeatable,
        )

    async def send_leave(self):
        """Announce that the target has left and return the HTTP status."""
        path = f"{wire.ANNOUNCE_PATH_PREFIX}{self.target.target_id}"
        line = f"DELETE {path} HTTP/1.1"
        answer = await exchange(self._fields["control"], line, {"Host": "control"})
        return answer.status

    async def is_ready(self):
        """Return whether the readiness probe of the platform succeeds."""
        line = f"GET {wire.READY_PATH} HTTP/1.1"
        answer = await exchange(self._fields["ready"], line, {"Host": "ready"})
        return answer.status == 200

    async def call(self, path, request_id, method="GET", body=b"", **headers):
        """Send one call as a caller does and return the answer."""
        all_headers = {
            "Host": HOST,
            wire.REQUEST_ID: request_id,
            wire.DEADLINE_MS: str(DEADLINE_MS),
        }
        all_headers.update(
            (name.replace("_", "-"), value) for name, value in headers.items()
        )
        line = f"{method} {path} HTTP/1.1"
        return await exchange(self.calls_address, line, all_headers, body)


class SidecarWorld:
    """Platform stand-in and nodes, running while the context is entered.

    Parameters
    ----------
    services : sequence of str
        Service of each node's target; one node is made for each.
    data_centres : sequence of str, optional
        Data centre of each node; by default all nodes are in the same one.
    rules : list of dict, optional
        Rules of version 1 of the catalogue.
    unanswered_data_centres : sequence of str, optional
        Data centres whose nodes the platform may leave unanswered while it answers
        the others.
    """

    def __init__(
        self, services, data_centres=None, rules=RULES, unanswered_data_centres=()
    ):
        self._application = make_application()
        self._rules = rules
        platform, gateway = (f"{get_own_address(250)}:{port}" for port in get_ports(2))
        self._platform_address = platform
        self._gateway = FlakyGateway(gateway, platform)
        self._server = None
        node_data_centres = data_centres or ["a"] * len(services)
        self.nodes = [
            SidecarNode(
                number,
                service,
                f"http://{gateway}"
                if data_centre in unanswered_data_centres
                else f"http://{platform}",
                data_centre,
            )
            for number, (service, data_centre) in enumerate(
                zip(services, node_data_centres, strict=True), start=1
            )
        ]

    @property
    def tables(self):
        """Tables of the platform stand-in."""
        return self._application.wildcard_router.rules[0].target_kwargs["state"]

    @property
    def platform_faults(self):
        """Faults and limits of the table service stand-in."""
        rule = self._application.wildcard_router.rules[0]
        return rule.target_kwargs["fault_state"]

    def set_unanswered(self, is_unanswered):
        """Set whether the platform leaves `unanswered_data_centres` unanswered."""
        self._gateway.is_silent = is_unanswered

    def write_catalogue(self, version, rules):
        """Write a version of the catalogue as an operator does."""
        self.write_operator_row(encode_catalogue(version, rules))

    def write_operator_row(self, data):
        """Write the operator's row with arbitrary content."""
        row_id = (wire.OPERATOR_TABLE, wire.CATALOGUE_KEY)
        self.tables.transact([], [(row_id, data)])

    def count_rows_with_left_target(self):
        """Return the number of node rows whose target is in the state LEFT."""
        rows = self.tables.read_range(wire.NODES_TABLE, "", "", 500)
        targets = [decode_record(value).target for _, _, value in rows]
        return sum(target.state is TargetState.LEFT for target in targets if target)

    async def __aenter__(self):
        host, _, port = self._platform_address.rpartition(":")
        self._server = HTTPServer(self._application)
        self._server.add_sockets(bind_sockets(int(port), host))
        await self._gateway.start()
        self.write_catalogue(1, self._rules)
        for node in self.nodes:
            await node.target.start()
            node.start()
        await self.wait_until(lambda: all(n.sidecar.is_ready for n in self.nodes))
        for node in self.nodes:
            await node.send_heartbeat()
        await self.wait_until(self._is_converged)
        return self

    def _is_converged(self):
        return all(
            node.sidecar.count_known_targets() == len(self.nodes) for node in self.nodes
        )

    async def wait_until(self, condition, timeout_s=10.0):
        """Poll a condition until it is true.

        Parameters
        ----------
        condition : callable
            Function without arguments that returns a truth value.
        timeout_s : float, optional
            Timeout in seconds.
        """
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.01)

    async def __aexit__(self, *exc_info):
        for node in self.nodes:
            await node.kill()
            await node.target.stop()
        await self._gateway.stop()
        self._server.stop()
        await self._server.close_all_connections()
