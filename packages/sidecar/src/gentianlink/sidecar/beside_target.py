"""The target beside this node, from its heartbeats and from calls to it."""

import attrs

from gentianlink.core.reason import Reason
from gentianlink.core.target_state import TargetState
from gentianlink.node.log import get_logger
from gentianlink.sidecar.failure_watch import FailureWatch
from gentianlink.sidecar.priority_gate import PriorityGate
from gentianlink.sidecar.target_info import TargetInfo

_LOG = get_logger("target")

# A target that can't be connected to is left alone for this long.
UNREACHABLE_MS = 400


class BesideTarget:
    """Latest statement of the target beside this node, and its gate.

    Parameters
    ----------
    address : str
        Address of the target from the settings.
    on_changed : callable
        Called without arguments when other nodes should hear of a change.
    """

    def __init__(self, address, on_changed):
        self._address = address
        self._on_changed = on_changed
        self._info = None
        self._gate = PriorityGate(1)
        self._unreachable_until_ms = 0.0
        self._watch = FailureWatch()

    @property
    def address(self):
        """Address of the target as IP number and TCP port."""
        return self._address

    @property
    def info(self):
        """What is known of the target, None before its first heartbeat."""
        return self._info

    @property
    def gate(self):
        """Gate of the target's slots."""
        return self._gate

    @property
    def is_ready(self):
        """Whether the target takes new calls."""
        return self._info is not None and self._info.state is TargetState.READY

    def take_heartbeat(self, heartbeat, now_ms, wall_ms):
        """Take in a heartbeat unless a newer statement is known.

        Parameters
        ----------
        heartbeat : Heartbeat
            The heartbeat.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        wall_ms : int
            Present time in milliseconds since the epoch.

        Returns
        -------
        bool
            Whether it was news.
        """
        known = self._info
        if known is not None and heartbeat.order <= known.order:
            _LOG.info(
                "old heartbeat ignored",
                target=heartbeat.target_id,
                order=heartbeat.order,
                known=known.order,
            )
            return False
        state = TargetState.DRAINING if heartbeat.is_draining else TargetState.READY
        if known is not None and _is_same_life(known, heartbeat):
            if known.state is TargetState.LEFT:
                state = TargetState.LEFT
            elif known.state is TargetState.DRAINING:
                state = TargetState.DRAINING
        cold_until_ms = int(wall_ms + heartbeat.cold_ms) if heartbeat.cold_ms else 0
        is_failing = (
            known is not None
            and _is_same_life(known, heartbeat)
            and self._watch.is_failing(now_ms)
        )
        self._replace(
            TargetInfo(
                target_id=heartbeat.target_id,
                service=heartbeat.service,
                slots=heartbeat.slots,
                state=state,
                started_ms=heartbeat.started_ms,
                sequence=heartbeat.sequence,
                is_reachable=True,
                cold_until_ms=cold_until_ms,
                is_failing=is_failing,
            ),
            now_ms,
        )
        return True

    def take_leave(self, target_id, started_ms):
        """Take in that a target has left.

        Parameters
        ----------
        target_id : str
            Name of the target.
        started_ms : int or None
            Start of its process, None if the message did not say it.
        """
        known = self._info
        if known is None or known.target_id != target_id:
            return
        if started_ms is not None and started_ms != known.started_ms:
            return
        self._close(TargetState.LEFT)

    def take_former(self, info, now_ms):
        """Take in what another node knew of the target before this process started.

        Parameters
        ----------
        info : TargetInfo
            Former statement of this node about its target.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        known = self._info
        if known is None or known.started_ms < info.started_ms:
            _LOG.info(
                "target known from a peer",
                target=info.target_id,
                state=info.state.value,
                order=info.order,
            )
            self._replace(
                attrs.evolve(info, is_reachable=True, is_failing=False), now_ms
            )
        elif known.started_ms == info.started_ms and info.state is not known.state:
            if info.state is not TargetState.READY:
                self._close(info.state)

    def _close(self, state):
        _LOG.info("target leaving", target=self._info.target_id, state=state.value)
        self._info = attrs.evolve(self._info, state=state)
        self._gate.close(Reason.DRAINING)
        self._on_changed()

    def _replace(self, info, now_ms):
        known = self._info
        self._info = info
        if known is None or known.started_ms != info.started_ms:
            _LOG.info(
                "new target",
                target=info.target_id,
                service=info.service,
                slots=info.slots,
                state=info.state.value,
                started_ms=info.started_ms,
                before=None if known is None else known.target_id,
            )
            self._gate.close(Reason.DRAINING)
            self._gate = PriorityGate(info.slots)
            self._watch = FailureWatch()
            self._unreachable_until_ms = 0.0
        elif known.slots != info.slots:
            self._gate.resize(info.slots, now_ms)
        if info.state is not TargetState.READY:
            self._gate.close(Reason.DRAINING)
        if known is None or _get_news(known) != _get_news(info):
            if known is not None and known.state is not info.state:
                _LOG.info("target state", target=info.target_id, state=info.state.value)
            self._on_changed()

    def note_unreachable(self, now_ms):
        """Take in that no connection to the target could be opened."""
        self._unreachable_until_ms = now_ms + UNREACHABLE_MS
        if self._info is not None and self._info.is_reachable:
            _LOG.warning("target lost", target=self._info.target_id)
            self._info = attrs.evolve(self._info, is_reachable=False)
            self._on_changed()

    def note_reachable(self):
        """Take in that the target took a connection."""
        if self._info is not None and not self._info.is_reachable:
            _LOG.info("target back", target=self._info.target_id)
            self._info = attrs.evolve(self._info, is_reachable=True)
            self._on_changed()

    def note_outcome(self, is_failure, now_ms):
        """Take in how a call ended that the target executed.

        Parameters
        ----------
        is_failure : bool
            Whether the target failed it.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        self._watch.record(is_failure, now_ms)
        self.check_failing(now_ms)

    def check_failing(self, now_ms):
        """Tell other nodes if the target has begun or ceased to fail calls.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        is_failing = self._watch.is_failing(now_ms)
        if self._info is None or self._info.is_failing is is_failing:
            return
        _LOG.info(
            "target fails calls" if is_failing else "target tried again",
            target=self._info.target_id,
        )
        self._info = attrs.evolve(self._info, is_failing=is_failing)
        self._on_changed()

    def may_connect(self, now_ms):
        """Return whether a connection to the target is worth a try."""
        return now_ms >= self._unreachable_until_ms


def _is_same_life(known, heartbeat):
    same_id = known.target_id == heartbeat.target_id
    return same_id and known.started_ms == heartbeat.started_ms


def _get_news(info):
    # The sequence changes with each heartbeat; other nodes need not hear of that.
    return attrs.evolve(info, sequence=0, cold_until_ms=0)
