"""All parts of the roll-outs at one node, and the messages between nodes about them."""

import random

import attrs

from gentianlink.core.field_checks import (
    MAX_NUMBER,
    check_integer,
    check_number,
    check_text,
)
from gentianlink.core.rollout import RolloutPhase
from gentianlink.node.clock import get_monotonic_ms, get_now_ms
from gentianlink.node.log import get_logger
from gentianlink.sidecar.exchange.peer_codec import parse_rollout
from gentianlink.sidecar.rollout.coordinator import Coordinator
from gentianlink.sidecar.rollout.coordinator_choice import (
    CoordinatorChoice,
    rank_nodes,
)
from gentianlink.sidecar.rollout.evidence_counter import EvidenceCounter
from gentianlink.sidecar.rollout.evidence_view import EvidenceReport, EvidenceView
from gentianlink.sidecar.rollout.rollout_board import RolloutBoard
from gentianlink.sidecar.rollout.rollout_orders import RolloutOrders
from gentianlink.sidecar.rollout.rollout_policy import RolloutPolicy
from gentianlink.sidecar.rollout.status_rows import StatusRows

_LOG = get_logger("rollout")

STATE_KIND = "rollout"
EVIDENCE_KIND = "rollout-evidence"
# Period of the turns, and of evidence while the version is judged. At the end each turn
# sends evidence: the old targets have to be idle before the deadline.
TURN_S = 0.25
EVIDENCE_MS = 500.0
# Period of the coordinator's messages, which renew the leases of gates.
BROADCAST_MS = 500.0
# Rules in one datagram, so that it is not split by the network.
MAX_RULES = 12
# Counts and sums of one rule in it.
RULE_VALUES = 8
# A coordinator repeats how a roll-out has ended for this time.
REPEAT_END_MS = 10_000.0


class Rollouts:
    """Roll-outs in which this node takes part.

    Parameters
    ----------
    directory : PeerDirectory
        Nodes and their targets.
    local_target : LocalTarget
        The target beside this node.
    datagrams : DatagramEndpoint
        Carries evidence and states.
    status_table : TableClient
        Client of the table with the states for the operator.
    metrics : CallMetrics
        Counts steps and evidence.
    get_clocks : callable, optional
        Returns the present time on the monotonic clock and since the epoch, both in
        milliseconds.
    rng : random.Random, optional
        Source of randomness.
    """

    def __init__(
        self,
        directory,
        local_target,
        datagrams,
        status_table,
        metrics,
        get_clocks=lambda: (get_monotonic_ms(), get_now_ms()),
        rng=random,
    ):
        self._directory = directory
        self._local_target = local_target
        self._datagrams = datagrams
        self._metrics = metrics
        self._get_clocks = get_clocks
        self._spread = lambda: None
        self._board = RolloutBoard(self._note_state)
        self._policy = RolloutPolicy(self._board, directory, rng, get_clocks()[0])
        self._orders = RolloutOrders(self._board, self._publish)
        self._counter = EvidenceCounter()
        self._views = {}
        self._choice = CoordinatorChoice(directory.own.node_id)
        self._status_rows = StatusRows(status_table, self._board.get, self._note_status)
        self._coordinator = Coordinator(
            directory,
            self._policy,
            self._get_view,
            self._status_rows,
            self._publish,
            metrics,
        )
        self._ended_ms = {}
        self._evidence_ms = 0.0
        self._broadcast_ms = {}
        datagrams.register(STATE_KIND, self._receive_state)
        datagrams.register(EVIDENCE_KIND, self._receive_evidence)

    @property
    def board(self):
        """States of the roll-outs."""
        return self._board

    @property
    def policy(self):
        """Which targets calls may use."""
        return self._policy

    def set_spread(self, spread):
        """Set the function that tells the linked nodes that a state has changed."""
        self._spread = spread

    def note_rows(self, rows, era):
        """Take rows of the operator's table into account.

        Parameters
        ----------
        rows : iterable of RowChange
            All rows, or those that have changed.
        era : int
            Era of the table service.
        """
        if self._orders.note_rows(rows, era, self._get_clocks()[1]):
            # The copy may lack the end of a roll-out.
            for state in self._board.states:
                if state.is_ended:
                    self._status_rows.ensure(state)
        self._policy.note_informed()

    def begin_run(self, rule_name):
        """Count a call that is sent to the own target; return a token for its end."""
        return self._counter.begin(rule_name, self._get_clocks()[0])

    def end_run(self, token, is_failure):
        """Record the end of a call at the own target.

        Parameters
        ----------
        token : int
            Result of :meth:`begin_run`.
        is_failure : bool or None
            Whether the target failed the call, None if this is unknown.
        """
        now_ms, wall_ms = self._get_clocks()
        self._counter.end(token, is_failure, self._is_cold(wall_ms), now_ms)

    def check_gate(self):
        """Return the refusal of a call if the own target may not execute it."""
        info = self._local_target.info
        refusal = self._policy.check_gate(info, *self._get_clocks())
        if refusal is not None:
            self._metrics.count("rollout_refusals_total", service=info.service)
        return refusal

    def begin_call(self, service):
        """Decide whether a call goes to the new version of its service."""
        return self._policy.begin_call(service, self._get_clocks()[0])

    def filter(self, service, candidates, call, is_near_only):
        """Return the candidates that a call may use, see RolloutPolicy."""
        if call is None:
            return candidates
        return self._policy.filter(
            service, candidates, call, is_near_only, *self._get_clocks()
        )

    def is_coordinating(self, service):
        """Return whether this node decides on the roll-out of a service."""
        state = self._board.get(service)
        if state is None:
            return False
        now_ms, _ = self._get_clocks()
        return self._choose_receivers(state, now_ms)[:1] == [
            self._directory.own.node_id
        ]

    def _is_cold(self, wall_ms):
        info = self._local_target.info
        return info is not None and wall_ms < info.cold_until_ms

    def turn(self):
        """Send evidence, and decide on the roll-outs that this node coordinates."""
        now_ms, wall_ms = self._get_clocks()
        for state in self._board.states:
            ended_ms = self._ended_ms.get(state.service)
            if ended_ms is not None and now_ms - ended_ms > REPEAT_END_MS:
                continue
            receivers = self._choose_receivers(state, now_ms)
            self._send_evidence(state, receivers, now_ms, wall_ms)
            own_id = self._directory.own.node_id
            if receivers[:1] != [own_id]:
                self._coordinator.forget(state.service)
                continue
            self._coordinator.advance(state, now_ms, wall_ms)
            last_ms = self._broadcast_ms.get(state.service, -BROADCAST_MS)
            if now_ms - last_ms >= BROADCAST_MS:
                # Renews the leases of gates, and keeps this node chosen.
                self._broadcast(self._board.get(state.service), now_ms)

    def _choose_receivers(self, state, now_ms):
        records = [self._directory.own, *self._directory.get_live_records()]
        ranked = rank_nodes(state, records)
        return self._choice.choose(state.service, ranked, now_ms)

    def _send_evidence(self, state, receivers, now_ms, wall_ms):
        info = self._local_target.info
        if info is None or info.service != state.service or state.is_ended:
            return
        is_closing = state.phase is RolloutPhase.CLOSING
        if not is_closing and now_ms - self._evidence_ms < EVIDENCE_MS:
            return
        self._evidence_ms = now_ms
        is_closed = is_closing and info.version != state.version
        gate = self._local_target.gate
        own = self._directory.own
        rules = self._counter.make_report(self._is_cold(wall_ms), now_ms)
        head = [
            state.service,
            own.node_id,
            [own.incarnation, info.started_ms],
            info.version,
            own.data_centre,
            state.revision if is_closed else 0,
            gate.in_flight + gate.waiting,
        ]
        for first in range(0, max(1, len(rules)), MAX_RULES):
            message = [*head, rules[first : first + MAX_RULES]]
            for node_id in receivers:
                if node_id == own.node_id:
                    self._receive_evidence(message, "")
                else:
                    record = self._directory.get(node_id)
                    self._datagrams.send(record.peer_address, EVIDENCE_KIND, message)
                    self._metrics.count("rollout_evidence_total", way="sent")

    def _receive_evidence(self, message, sender):
        service, node_id, stream, version, data_centre, closed, in_flight, rules = (
            message
        )
        for value in (service, node_id, version, data_centre):
            check_text(value, may_be_empty=True)
        for value in (closed, in_flight):
            check_integer(value)
        for rule_name, *values in rules:
            check_text(rule_name, may_be_empty=True)
            if len(values) != RULE_VALUES:
                raise ValueError(f"{len(values)} counts of a rule")
            for value in values:
                check_number(value, least=-MAX_NUMBER)
        report = EvidenceReport(
            node_id, tuple(stream), version, data_centre, closed, in_flight, rules
        )
        self._get_view(service).note(report, self._get_clocks()[0])
        self._metrics.count("rollout_evidence_total", way="received")

    def _get_view(self, service):
        view = self._views.get(service)
        if view is None:
            view = self._views[service] = EvidenceView()
        return view

    def _publish(self, state):
        if not self._board.merge([state]):
            return
        self._spread()
        self._broadcast(state, self._get_clocks()[0])

    def _broadcast(self, state, now_ms):
        """Tell all nodes a state at once; passing it on along the links is slower."""
        self._broadcast_ms[state.service] = now_ms
        self._policy.note_coordinator(state, now_ms)
        fields = attrs.astuple(attrs.evolve(state, phase=state.phase.value))
        message = [self._directory.own.node_id, list(fields)]
        for record in self._directory.get_live_records():
            self._datagrams.send(record.peer_address, STATE_KIND, message)

    def _receive_state(self, message, sender):
        node_id, fields = message
        check_text(node_id)
        state = parse_rollout(fields)
        now_ms, _ = self._get_clocks()
        if self._board.merge([state]):
            self._spread()
        self._policy.note_coordinator(state, now_ms)
        self._choice.note_heard(state.service, node_id, now_ms)

    def _note_state(self, before, state):
        now_ms, _ = self._get_clocks()
        if before is None or before.revision != state.revision:
            self._views.pop(state.service, None)
            self._choice.forget(state.service)
        if state.is_ended:
            self._ended_ms.setdefault(state.service, now_ms)
        else:
            self._ended_ms.pop(state.service, None)
        self._policy.note_informed()
        _LOG.info(
            "state of a roll-out",
            service=state.service,
            to=state.version,
            step=state.step,
            share=round(state.share, 3),
            phase=state.phase.value,
        )

    def _note_status(self, state, phase):
        known = self._board.get(state.service)
        if known is not None and known.revision == state.revision:
            self._coordinator.note_status(known, phase, self._get_clocks()[0])

    async def run(self):
        """Write status rows until cancelled."""
        await self._status_rows.run()

    def compute_gauges(self):
        """Return the metrics of the roll-outs by name."""
        running = [item for item in self._board.states if not item.is_ended]
        return {
            "rollouts_running": len(running),
            "rollout_share": max((item.share for item in running), default=0.0),
        }
