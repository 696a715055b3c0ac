"""The exchange of state in fleets of several sizes, in virtual time; no network."""

import asyncio

import attrs
import orjson
import pytest

from gentianlink.core.rollout import RolloutState
from gentianlink.core.target_state import TargetState
from gentianlink.sidecar.crash_report import CrashReport
from gentianlink.sidecar.exchange.peer_codec import (
    FORM_CRASHES,
    FORM_DATAGRAMS,
    FORM_FIRST,
    FORM_RECORDS,
    FORM_VERSIONS,
    decode_message,
    decode_records,
    encode_message,
    encode_records,
)
from gentianlink.sidecar.exchange.peer_message import LostNode, PeerMessage
from gentianlink.sidecar.exchange.peer_paths import (
    EXCHANGE_PATH,
    PREFIXES,
    SYNCHRONISE_PATH,
)
from gentianlink.sidecar.exchange.record_digest import BUCKETS
from gentianlink.sidecar.peer_directory import FORGET_MS, TOMBSTONE_MS, PeerDirectory
from gentianlink.sidecar.peer_record import PeerRecord
from gentianlink.sidecar.target_info import TargetInfo
from gentianlink.sidecar.target_load import TargetLoad
from gentianlink.testing.membership_model import (
    measure_change,
    measure_loss,
    measure_rest,
    measure_restart,
    run_fleet,
)

SIZES = [11, 48, 100]
MAX_MESSAGES_AT_REST = 2.0
MAX_MESSAGES_OF_A_CHANGE = 4.0
# Every node is back within this time after the start of all.
RECOVER_S = 15.0
LOSS_S = 5.0
MISS_S = 1.0
OWN = PeerRecord("node-0", 1, 0, "dc-0", "node-0:1", "node-0:1")
OTHER = PeerRecord("node-1", 5, 2, "dc-0", "node-1:1", "node-1:1")


class TestCost:
    """Load that must not grow with the fleet."""

    @pytest.mark.parametrize("count", SIZES)
    def test_messages_at_rest_do_not_grow_with_the_fleet(self, count):
        assert run_fleet(measure_rest, count, 1) <= MAX_MESSAGES_AT_REST

    @pytest.mark.parametrize("count", SIZES)
    def test_a_change_costs_each_node_a_few_messages(self, count):
        elapsed_s, messages = run_fleet(measure_change, count, 1)
        assert messages <= MAX_MESSAGES_OF_A_CHANGE
        assert elapsed_s <= MISS_S

    @pytest.mark.parametrize("count", SIZES)
    def test_restart_of_all_costs_each_node_few_messages(self, count):
        elapsed_s, messages = run_fleet(measure_restart, count, 1)
        assert elapsed_s <= RECOVER_S
        assert messages <= 4 * count.bit_length()


class TestKnowledge:
    """What every node that reaches any other has to know."""

    @pytest.mark.parametrize("seed", [1, 2, 3])
    @pytest.mark.parametrize("count", SIZES)
    def test_lost_node_is_known_everywhere(self, count, seed):
        assert run_fleet(measure_loss, count, seed) <= LOSS_S

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_row_of_a_node_that_is_gone_is_known_as_lost(self, seed):
        # Guards against calls to targets of machines that were removed.
        async def scenario(fleet):
            gone = attrs.evolve(OTHER, node_id="gone", peer_address="gone")
            fleet.dead.add("gone")
            for node in fleet.nodes.values():
                node.exchange.learn(gone)
            return await fleet.wait_until(lambda item: item.directory.is_lost("gone"))

        assert run_fleet(scenario, 48, seed) <= LOSS_S

    def test_changes_do_not_hurry_the_trials_of_a_lost_node(self):
        async def scenario(fleet):
            fleet.kill(0)
            await asyncio.sleep(5.0)
            fleet.messages_to_dead = 0
            for number in range(1, 30):
                node = fleet.nodes[f"node-{number}"]
                node.directory.update_own(is_stopping=True)
                node.exchange.push()
                await asyncio.sleep(0.1)
            return fleet.messages_to_dead

        # About six links with a back-off of at least 1.2 s by then, for three seconds.
        assert run_fleet(scenario, 30, 1) <= 24

    @pytest.mark.parametrize("seed", [1, 2])
    def test_nodes_find_each_other_again_without_their_rows(self, seed):
        """All nodes but one are killed and start while the table is away."""

        async def scenario(fleet):
            names = list(fleet.nodes)
            for number in range(1, len(names)):
                fleet.kill(number)
            await asyncio.sleep(0.5)
            for number in range(1, len(names)):
                fleet.restart(number, 2, is_row_read=False)
            return await fleet.wait_until(
                lambda node: all(
                    name == node.directory.own.node_id
                    or not node.directory.is_lost(name)
                    for name in names
                )
            )

        assert run_fleet(scenario, 30, seed) <= RECOVER_S

    def test_node_that_is_wrongly_reported_lost_is_back_at_once(self):
        async def scenario(fleet):
            reporter = fleet.nodes["node-7"].exchange
            order = fleet.nodes["node-0"].directory.own.order
            reporter._pass_on_lost(LostNode("node-0", order), None)
            await asyncio.sleep(1.0)
            return await fleet.wait_until(
                lambda node: (
                    node.directory.own.node_id == "node-0"
                    or not node.directory.is_lost("node-0")
                )
            )

        assert run_fleet(scenario, 48, 1) <= MISS_S

    def test_both_sides_of_a_cut_meet_again(self):
        async def scenario(fleet):
            fleet.cut = {frozenset({"dc-0", f"dc-{number}"}) for number in range(1, 5)}
            await asyncio.sleep(10.0)
            fleet.nodes["node-0"].directory.update_own(is_stopping=True)
            fleet.nodes["node-0"].exchange.push()
            await asyncio.sleep(10.0)
            fleet.cut = set()
            elapsed_s = await fleet.wait_until(
                lambda node: all(
                    name == node.directory.own.node_id
                    or (
                        not node.directory.is_lost(name)
                        and node.directory.get(name).order == other.directory.own.order
                    )
                    for name, other in fleet.nodes.items()
                )
            )
            await asyncio.sleep(MISS_S)
            change_s, _ = await measure_change(fleet)
            return elapsed_s, change_s

        elapsed_s, change_s = run_fleet(scenario, 30, 1)
        assert elapsed_s <= RECOVER_S
        assert change_s <= MISS_S

    def test_version_that_one_node_has_is_known_everywhere(self):
        # Guards against a version that a whole data centre does not hear of (CONFIG).
        async def scenario(fleet):
            fleet.nodes["node-0"].version = 7
            fleet.nodes["node-0"].exchange.announce_version()
            node = fleet.nodes["node-5"]
            node.directory.note_holder("node-0", 7)
            node.exchange.spread_missing_version(7)
            return await fleet.wait_until(
                lambda item: (
                    item.version == 7 or item.directory.get_newest_version() == 7
                )
            )

        assert run_fleet(scenario, 100, 1) <= MISS_S


class TestLostDatagrams:
    """Changes are sent as datagrams, of which some or all may be lost."""

    @staticmethod
    def make_change(is_urgent):
        async def scenario(fleet):
            for node in fleet.nodes.values():
                target = TargetInfo("i-1", "s", 4, TargetState.READY, 5, 2)
                node.directory.update_own(target=target)
                node.exchange.push()
            await asyncio.sleep(RECOVER_S)
            fleet.datagram_loss = fleet.loss_in_change
            node = fleet.nodes["node-0"]
            target = node.directory.own.target
            state = TargetState.DRAINING if is_urgent else target.state
            target = attrs.evolve(target, state=state, work_ms=(("r", 40),))
            node.directory.update_own(target=target)
            node.exchange.push()
            order = node.directory.own.order
            return await fleet.wait_until(
                lambda item: item is node or item.directory.get("node-0").order == order
            )

        return scenario

    @pytest.mark.parametrize("seed", range(1, 6))
    @pytest.mark.parametrize("is_urgent", [True, False])
    @pytest.mark.parametrize("count", [2, 48])
    def test_change_is_known_everywhere_if_datagrams_are_lost(
        self, count, is_urgent, seed
    ):
        # Guards against a change that a node does not hear of until the next one.
        scenario = self.make_change(is_urgent)

        async def lossy(fleet):
            fleet.loss_in_change = 0.2
            return await scenario(fleet)

        assert run_fleet(lossy, count, seed) <= LOSS_S

    def test_change_is_known_everywhere_where_no_datagram_passes(self):
        # Guards against nodes that do without HTTP although datagrams are filtered.
        async def scenario(fleet):
            fleet.datagram_loss = 1.0
            await asyncio.sleep(RECOVER_S)
            return await measure_change(fleet)

        elapsed_s, _ = run_fleet(scenario, 48, 1)
        assert elapsed_s <= MISS_S

    def test_record_too_long_for_a_datagram_is_known_everywhere(self):
        # Guards against links that leave datagrams because of one long message.
        report = CrashReport("i-1", 7, tuple(f"{number:032}" for number in range(64)))

        async def scenario(fleet):
            node = fleet.nodes["node-0"]
            node.directory.update_own(crashes=(report,))
            node.exchange.push()
            order = node.directory.own.order
            elapsed_s = await fleet.wait_until(
                lambda item: item is node or item.directory.get("node-0").order == order
            )
            await asyncio.sleep(RECOVER_S)
            links = [
                link
                for item in fleet.nodes.values()
                for link in item.exchange._links.values()
            ]
            return elapsed_s, all(link.takes_datagrams for link in links)

        elapsed_s, is_by_datagram = run_fleet(scenario, 48, 1)
        assert elapsed_s <= MISS_S
        assert is_by_datagram

    def test_lost_node_is_known_everywhere_where_no_datagram_passes(self):
        async def scenario(fleet):
            fleet.datagram_loss = 1.0
            await asyncio.sleep(RECOVER_S)
            return await measure_loss(fleet)

        assert run_fleet(scenario, 48, 1) <= LOSS_S


class TestDirectory:
    def test_removed_node_does_not_come_back_from_others(self):
        directory = PeerDirectory(OWN)
        directory.update_record(OTHER, 0.0)
        directory.note_lost("node-1", "test", 0.0)
        directory.forget_old(FORGET_MS)
        directory.update_record(OTHER, FORGET_MS)
        assert directory.get("node-1") is None
        newer = attrs.evolve(OTHER, sequence=3)
        directory.update_record(newer, FORGET_MS)
        assert directory.get("node-1") == newer

    def test_version_of_a_process_that_has_ended_is_not_awaited(self):
        # Guards against fetches without end after the table has lost a version.
        directory = PeerDirectory(OWN)
        directory.update_record(OTHER, 0.0)
        directory.note_heard("node-1", 9, 0.0)
        assert directory.get_newest_version() == 9
        directory.update_record(attrs.evolve(OTHER, incarnation=6), 1.0)
        assert directory.get_newest_version() == 0

    def test_every_node_that_calls_is_known_as_a_holder_of_its_version(self):
        directory = PeerDirectory(OWN)
        for number in (1, 2):
            address = f"10.0.0.{number}:7"
            record = attrs.evolve(OTHER, node_id=f"n-{number}", peer_address=address)
            directory.update_record(record, 0.0)
        for number in (1, 2):
            directory.note_version(f"10.0.0.{number}", 9)
        assert len(directory.get_holders(9)) == 2

    def test_tombstones_do_not_pile_up(self):
        directory = PeerDirectory(OWN)
        directory.update_record(OTHER, 0.0)
        directory.note_lost("node-1", "test", 0.0)
        directory.forget_old(FORGET_MS)
        directory.forget_old(FORGET_MS + TOMBSTONE_MS)
        directory.update_record(OTHER, 0.0)
        assert directory.get("node-1") == OTHER

    def test_equal_records_give_equal_digests_in_any_order(self):
        third = attrs.evolve(OTHER, node_id="node-2")
        ways = []
        for records in (
            [OTHER, third],
            [third, attrs.evolve(OTHER, sequence=1), OTHER],
        ):
            directory = PeerDirectory(OWN)
            for record in records:
                directory.update_record(record, 0.0)
            ways.append(directory.digest.whole)
        assert ways[0] == ways[1]

    def test_report_about_an_older_record_is_not_believed(self):
        directory = PeerDirectory(OWN)
        directory.update_record(OTHER, 0.0)
        assert not directory.note_reported_lost(LostNode("node-1", (5, 1)), 5000.0)
        assert directory.note_reported_lost(LostNode("node-1", (5, 2)), 5000.0)

    def test_report_about_a_node_heard_just_now_is_not_believed(self):
        directory = PeerDirectory(OWN)
        directory.update_record(OTHER, 0.0)
        directory.note_heard("node-1", 0, 4500.0)
        assert not directory.note_reported_lost(LostNode("node-1", (5, 2)), 5000.0)


class TestBadMessages:
    """Messages that are cut, of another fleet, or replayed."""

    @pytest.mark.parametrize("path", [EXCHANGE_PATH, SYNCHRONISE_PATH])
    @pytest.mark.parametrize(
        "body", [b"", b"[]", b"{}", b"[1]", b"null", orjson.dumps(["x"] * BUCKETS)]
    )
    def test_unreadable_message_is_refused(self, path, body):
        async def scenario(fleet):
            node = fleet.nodes["node-0"]
            before = node.directory.digest.whole
            reply = node.handle("POST", PREFIXES[FORM_CRASHES] + path, body)
            return reply.status, node.directory.digest.whole == before

        assert run_fleet(scenario, 3, 1) == (400, True)

    def test_every_cut_of_a_message_is_refused(self):
        async def scenario(fleet):
            message = fleet.nodes["node-1"].exchange._make_message("node-0", None)
            data = encode_message(message)
            node = fleet.nodes["node-0"]
            path = PREFIXES[FORM_CRASHES] + EXCHANGE_PATH
            return {
                node.handle("POST", path, data[:n]).status for n in range(len(data))
            }

        assert run_fleet(scenario, 3, 1) == {400}

    def test_replayed_message_changes_nothing(self):
        async def scenario(fleet):
            sender, node = fleet.nodes["node-1"], fleet.nodes["node-0"]
            old = encode_message(sender.exchange._make_message("node-0", None))
            sender.directory.update_own(is_stopping=True)
            sender.exchange.push()
            await asyncio.sleep(1.0)
            before = node.directory.get("node-1")
            node.handle("POST", PREFIXES[FORM_CRASHES] + EXCHANGE_PATH, old)
            return node.directory.get("node-1") == before

        assert run_fleet(scenario, 3, 1)


class TestEarlierRelease:
    """Nodes of this release beside nodes of an earlier one."""

    def test_earlier_form_of_a_message_is_read_and_answered(self):
        async def scenario(fleet):
            sender, node = fleet.nodes["node-1"], fleet.nodes["node-0"]
            message = sender.exchange._make_message("node-0", None)
            data = encode_message(message, FORM_FIRST)
            assert len(orjson.loads(data)) == 8
            reply = node.handle("POST", PREFIXES[FORM_FIRST] + EXCHANGE_PATH, data)
            assert len(orjson.loads(reply.body)) == 8
            return decode_message(reply.body).node_id

        assert run_fleet(scenario, 3, 1) == "node-0"

    @pytest.mark.parametrize(
        "unknown",
        [
            (PREFIXES[FORM_DATAGRAMS],),
            (PREFIXES[FORM_DATAGRAMS], PREFIXES[FORM_VERSIONS]),
            (
                PREFIXES[FORM_DATAGRAMS],
                PREFIXES[FORM_VERSIONS],
                PREFIXES[FORM_CRASHES],
            ),
            (
                PREFIXES[FORM_DATAGRAMS],
                PREFIXES[FORM_VERSIONS],
                PREFIXES[FORM_CRASHES],
                PREFIXES[FORM_RECORDS],
            ),
        ],
    )
    def test_node_that_knows_only_the_earlier_path_is_found(self, unknown):
        async def scenario(fleet):
            handle = fleet.nodes["node-0"].handle
            paths = []

            def handle_earlier(method, path, body):
                paths.append(path)
                if path.startswith(unknown):
                    return handle(method, "/none", body)
                return handle(method, path, body)

            fleet.nodes["node-0"].handle = handle_earlier
            fleet.datagrams["node-0"].close()
            record = fleet.nodes["node-0"].directory.own
            fleet.nodes["node-1"].exchange.probe(record)
            await asyncio.sleep(1.0)
            return paths[-1].startswith(unknown), paths[-1].endswith(EXCHANGE_PATH)

        assert run_fleet(scenario, 3, 1) == (False, True)

    def test_reports_on_crashes_are_left_out_for_earlier_releases(self):
        record = attrs.evolve(OTHER, crashes=(CrashReport("i-1", 7, ("ab",)),))
        assert decode_records(encode_records([record])) == [record]
        assert decode_records(encode_records([record], FORM_RECORDS)) == [OTHER]

    def test_versions_of_targets_and_rollouts_are_left_out_for_earlier_releases(self):
        earlier = TargetInfo("i-1", "s", 4, TargetState.READY, 5, 2)
        target = attrs.evolve(earlier, version="v2", work_ms=(("r", 40),))
        record = attrs.evolve(OTHER, target=target)
        rollout = RolloutState("s", "v2", 7, 1, 0.05)
        message = PeerMessage(
            "node-1", (1, 1), 1, TargetLoad(), (0, 0), record, rollouts=(rollout,)
        )
        assert decode_message(encode_message(message)) == message
        assert decode_message(encode_message(message, FORM_CRASHES)) == attrs.evolve(
            message, record=attrs.evolve(OTHER, target=earlier), rollouts=()
        )

    def test_record_without_crashes_has_the_form_of_earlier_releases(self):
        assert encode_records([OTHER]) == encode_records([OTHER], FORM_RECORDS)


class TestUnreadableRecord:
    # Guards against one bad record that makes each message with it be refused, so that
    # two nodes consider each other lost.
    def test_other_records_of_a_message_are_taken(self):
        bad = attrs.evolve(OTHER, node_id="node-9", target="not a target")
        message = PeerMessage(
            "node-1", (1, 1), 1, TargetLoad(), (0, 0), records=(bad, OTHER)
        )
        assert decode_message(encode_message(message)).records == (OTHER,)
        assert decode_records(encode_records([bad, OTHER])) == [OTHER]
