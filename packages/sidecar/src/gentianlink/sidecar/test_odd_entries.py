"""Entries of other writers: deeply nested, too large, out of range, of a wrong type."""

import asyncio
import copy
import socket

import attrs
import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gentianlink.core.errors import CodecError
from gentianlink.core.rollout import RolloutPhase, RolloutState
from gentianlink.core.target_state import TargetState
from gentianlink.platform import wire
from gentianlink.platform.catalogue_codec import decode_rule_set
from gentianlink.platform.heartbeat_codec import decode_heartbeat, decode_started_ms
from gentianlink.platform.rollout_codec import (
    decode_rollout_order,
    decode_rollout_status,
)
from gentianlink.sidecar.crash_report import CrashReport
from gentianlink.sidecar.datagrams.datagram_endpoint import encode_datagram
from gentianlink.sidecar.exchange.peer_codec import (
    decode_message,
    decode_record,
    encode_message,
    encode_record,
)
from gentianlink.sidecar.exchange.peer_message import LostNode, PeerMessage
from gentianlink.sidecar.peer_record import PeerRecord
from gentianlink.sidecar.quarantine import QuarantinedRequest
from gentianlink.sidecar.quarantine_codec import decode_request, encode_request
from gentianlink.sidecar.rule_codec import encode_delta
from gentianlink.sidecar.rule_delta import EMPTY_RULES, compute_delta
from gentianlink.sidecar.target_info import TargetInfo
from gentianlink.sidecar.target_load import TargetLoad
from gentianlink.testing.raw_http import exchange
from gentianlink.testing.sidecar_world import (
    RULES,
    STARTED_MS,
    SidecarWorld,
    encode_catalogue,
)


def nest(depth):
    return "[" * depth + "]" * depth


# JSON texts of values that replace those of an entry.
PLACE = "@place@"
ODD_TEXTS = [
    *("null", "true", "-1", "0", "1.5", "1000000000000000", "9223372036854775808"),
    *("18446744073709551615", "1e30", "-1e300", "1.7e308", "1e400", "[]", "{}", "[[]]"),
    *('""', '"\\u0000"', '"10.0.0.1:99999"', '"10.0.0.1:0"', '"10.0.0.1:-1"', '":1"'),
    *('"10.0.0.1:\u0663"', '"\u0661"', '{"a":1}', "[null]", f'"{"x" * 100_000}"'),
    *(nest(200), nest(900), nest(1000), nest(5000)),
]
TARGET = TargetInfo(
    "i-1", "inquiry", 4, TargetState.READY, 1000, 7, True, 5, False, "v1", (("r", 9),)
)
CRASH = CrashReport("i-1", 1000, ("0123456789abcdef0011",))
RECORD = PeerRecord(
    "n-1", 5, 2, "a", "10.0.0.1:1", "10.0.0.1:2", 2.5, False, TARGET, (CRASH,)
)
ROLLOUT = RolloutState("inquiry", "v2", 7, 1, 0.5, RolloutPhase.RUNNING, 1, 2.0)
MESSAGE = PeerMessage(
    node_id="n-1",
    order=(5, 2),
    version=3,
    load=TargetLoad(1, 2, 3.0),
    known_order=(4, 4),
    record=RECORD,
    previous=RECORD,
    digest=9,
    records=(RECORD,),
    lost=(LostNode("n-2", (1, 1)),),
    missing_version=4,
    holder_id="n-3",
    rollouts=(ROLLOUT,),
)
HEARTBEAT = {
    "service": "inquiry",
    "address": "10.0.0.1:1",
    "version": "v1",
    "capacity": 4,
    "state": "ready",
    "cold_left_s": 0.5,
    "sequence": 3,
    "born": 1000,
}
REQUEST = QuarantinedRequest("ab", ("cd",), (("i-1", 1),))
ORDER = {"service": "inquiry", "to": "v2", "duration_s": 30}
TENANT = {"name": "t", "api_keys": ["k"], "rate_per_s": 5, "burst": 3, "priority": 1}


def make_catalogue():
    value = orjson.loads(encode_catalogue(1, RULES, max_body_bytes=100))
    value["tenants"] = {"columns": list(TENANT), "rows": [list(TENANT.values())]}
    return value


def list_places(value, path=()):
    """Return the paths of all values within a value, itself included."""
    places = [path]
    if isinstance(value, dict | list):
        keys = value if isinstance(value, dict) else range(len(value))
        for key in keys:
            places += list_places(value[key], (*path, key))
    return places


def replace(value, path, text):
    """Return an entry as JSON, with another text at a path."""
    if not path:
        return text.encode()
    changed = copy.deepcopy(value)
    inner = changed
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = PLACE
    return orjson.dumps(changed).decode().replace(f'"{PLACE}"', text).encode()


def check_record(record):
    assert decode_record(encode_record(record)) == record
    for address in (record.peer_address, record.forward_address):
        host, _, port = address.rpartition(":")
        assert host
        socket.getaddrinfo("127.0.0.1", int(port))


def check_message(message):
    assert decode_message(encode_message(message)) == message


def check_rules(rules):
    assert encode_delta(compute_delta(EMPTY_RULES, rules))
    for rule in rules.rules.values():
        assert 0 < rule.timeout_ms < 1e16


def check_heartbeat(heartbeat):
    assert int(1e12 + heartbeat.cold_ms) < 2**63
    orjson.dumps([heartbeat.started_ms, heartbeat.sequence, heartbeat.slots])
    assert len(heartbeat.service + heartbeat.version) < 1000


def check_order(order):
    state = RolloutState(order.service, order.version, 1, duration_ms=order.duration_ms)
    check_message(attrs.evolve(MESSAGE, rollouts=(state,)))


THINGS = {
    "record": (orjson.loads(encode_record(RECORD)), decode_record, check_record),
    "message": (orjson.loads(encode_message(MESSAGE)), decode_message, check_message),
    "heartbeat": (HEARTBEAT, lambda d: decode_heartbeat("i-1", d), check_heartbeat),
    "departure": ({"born": 5}, decode_started_ms, orjson.dumps),
    "catalogue": (make_catalogue(), decode_rule_set, check_rules),
    "quarantine": (
        orjson.loads(encode_request(REQUEST)),
        decode_request,
        lambda request: decode_request(encode_request(request)),
    ),
    "order": (
        ORDER,
        lambda data: decode_rollout_order("rollout/inquiry", data, 5),
        check_order,
    ),
    "status": ({"state": "done", "to": "v2"}, decode_rollout_status, lambda _: None),
}


class TestEachField:
    # Guards against a value that its reader accepts, or refuses with an error that
    # nobody expects, and that ends a task later.
    @pytest.mark.parametrize("name", THINGS)
    def test_odd_value_is_refused_or_harmless(self, name):
        value, decode, check = THINGS[name]
        check(decode(orjson.dumps(value)))
        for path in list_places(value):
            for text in ODD_TEXTS:
                try:
                    result = decode(replace(value, path, text))
                except CodecError as error:
                    assert len(str(error)) < 1000
                    continue
                if result is not None:
                    check(result)

    # Guards against taking a version of a wrong type for a missing one.
    @pytest.mark.parametrize("version", ["", 0, False, []])
    def test_empty_version_of_a_heartbeat_is_refused(self, version):
        with pytest.raises(CodecError):
            decode_heartbeat("i-1", orjson.dumps(HEARTBEAT | {"version": version}))

    @pytest.mark.parametrize("name", THINGS)
    @given(data=st.binary(max_size=60) | st.text(max_size=60).map(str.encode))
    def test_bytes_that_are_no_entry_are_refused(self, name, data):
        _, decode, _ = THINGS[name]
        try:
            assert decode(data) is None
        except CodecError:
            pass


def run(work):
    async def run_world():
        async with SidecarWorld(["inquiry"] * 3) as world:
            await work(world)

    asyncio.run(run_world())


def write_odd_rows(world):
    """Write odd rows among those of the nodes, also under the names of nodes."""
    value = orjson.loads(encode_record(RECORD))
    ahead = replace(value, (1,), str(2**52)).decode()
    rows = {
        f"odd-{number}": replace(value, (5,), text)
        for number, text in enumerate(ODD_TEXTS)
    }
    rows["odd-port"] = replace(value, (4,), '"10.0.0.1:99999"')
    rows["odd-start"] = replace(value, (0,), '"odd-start"').replace(
        b",5,2,", f",{2**52},2,".encode()
    )
    rows["quarantine/odd"] = replace({"content": 1}, ("content",), nest(1000))
    rows["quarantine/large"] = b'{"content":"a","callers":[],"crashes":[["i",1e300]]}'
    rows["n-9"] = ahead.encode()
    for key, data in rows.items():
        world.tables.transact([], [((wire.NODES_TABLE, key), data)])
    orders = {f"rollout/odd-{n}": text for n, text in enumerate(ODD_TEXTS)}
    orders["rollout/inquiry"] = '{"service":"inquiry","to":"v9","duration_s":1.7e308}'
    for key, text in orders.items():
        world.tables.transact([], [((wire.OPERATOR_TABLE, key), text.encode())])


def send_odd_datagrams(world):
    """Send odd messages of each kind to all nodes."""
    record = orjson.loads(encode_record(RECORD))
    news = [
        ["n-9", 1, [[*record[:4], "10.0.0.1:99999", *record[5:]]], []],
        ["node-1", 1, [["node-2", 2**60, 2, *record[3:]]], []],
    ]
    messages = {
        "news": news,
        "spread": [["n-9", [["node-2", 2**60, 2, *record[3:]]]]],
        "ask": [[1, nest(3)], [1, [["a"]]]],
        "answer": [[1, [1, 2]], [{}, []]],
        "rollout": [["node-2", ["inquiry", "v9", 1, 1, 0.5, "running", 1, 1e300]]],
        "rollout-evidence": [
            ["inquiry", "n", [], "v", "a", 1, 1, [["r", *[1e300] * 8]]]
        ],
        "completed": [["ab", [["i", 2**63]]], [1, 2]],
        "ack": [[[]], [{}]],
        "tokens": [[[0, 1]], [1e300]],
    }
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    for node in world.nodes:
        host, _, port = node.peer_address.rpartition(":")
        for kind, bodies in messages.items():
            for body in bodies:
                sender.sendto(encode_datagram(kind, body), (host, int(port)))
            deep = f'["{kind}",[{nest(600)}]]'.encode()
            sender.sendto(deep, (host, int(port)))
    sender.close()


async def send_odd_heartbeats(node):
    """Send odd heartbeats of the address of a node's target; return the statuses."""
    control = node.sidecar._settings.listen.control
    good = HEARTBEAT | {
        "address": node.target.address,
        "born": STARTED_MS + 1,
        "sequence": 1,
    }
    entries = [(name, text) for name in good for text in ODD_TEXTS]
    entries += [("born", str(2**52)), ("service", '"unheard"')]
    statuses = set()
    for name, text in entries:
        is_valid = name in ("cold_left_s", "version", "sequence") or text == "0"
        if is_valid or (name == "capacity" and text.isdigit()):
            continue
        line = f"PUT {wire.ANNOUNCE_PATH_PREFIX}i-odd HTTP/1.1"
        body = replace(good, (name,), text)
        answer = await exchange(control, line, {"Host": "control"}, body)
        statuses.add(answer.status)
    return statuses


def count_failures(world):
    texts = [node.sidecar._render_metrics().decode() for node in world.nodes]
    return sum(text.count("gentianlink_task_failures_total{") for text in texts)


async def check_service(world, version):
    """Check that a version comes into force and that each target is called."""
    world.write_catalogue(version, RULES)
    await world.wait_until(
        lambda: {node.sidecar.version for node in world.nodes} == {version}
    )
    for node in world.nodes:
        assert node.sidecar.count_ready_targets() == len(world.nodes)
        answer = await node.call("/read/1", f"{version}-{node.calls_address}")
        assert answer.status == 200
    assert count_failures(world) == 0


class TestWholeNode:
    # Guards against one odd entry among those of the targets that ends a task, or makes
    # nodes lose sight of the others (LOST, CONFIG).
    def test_odd_rows_change_nothing(self):
        async def work(world):
            write_odd_rows(world)
            await check_service(world, 2)
            node = world.nodes[0]
            await node.kill()
            node.start()
            await world.wait_until(lambda: node.sidecar.is_ready)
            await world.wait_until(lambda: node.sidecar.count_ready_targets() == 3)
            await check_service(world, 3)

        run(work)

    def test_odd_datagrams_change_nothing(self):
        async def work(world):
            send_odd_datagrams(world)
            await asyncio.sleep(0.2)
            await check_service(world, 2)

        run(work)

    def test_odd_heartbeats_are_refused(self):
        async def work(world):
            assert await send_odd_heartbeats(world.nodes[0]) == {400}
            assert world.nodes[0].sidecar.count_ready_targets() == 3
            await check_service(world, 2)

        run(work)
