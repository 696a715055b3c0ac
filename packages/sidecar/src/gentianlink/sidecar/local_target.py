"""State of the target beside this node, from its heartbeats and the calls to it."""

import attrs

from gentianlink.core.reason import Reason
from gentianlink.core.target_state import TargetState
from gentianlink.node.log import get_logger
from gentianlink.sidecar.admission.named_rate_limit import NamedRateLimit
from gentianlink.sidecar.admission.priority_gate import PriorityGate
from gentianlink.sidecar.crash_detector import CrashDetector
from gentianlink.sidecar.departures import Departures, is_departed, make_departed
from gentianlink.sidecar.outlier_detector import OutlierDetector
from gentianlink.sidecar.routing.work_estimator import WorkEstimator
from gentianlink.sidecar.target_info import TargetInfo

_LOG = get_logger("target")

# Back-off after a failed attempt to connect to the target.
CONNECT_BACKOFF_MS = 400
# Time from the start of this node in which a target sends a heartbeat, if it has not
# announced that it leaves: its period is 1.5 s.
CONFIRM_MS = 2000.0


class LocalTarget:
    """Latest state of the target beside this node, and the gate of its slots.

    Parameters
    ----------
    address : str
        Address of the target from the settings.
    on_changed : callable
        Called without arguments when a change should be sent to other nodes.
    on_crashed : callable
        Called with the target's state and a list of CallSummary, the calls in flight,
        when the process of the target has crashed.
    service : str, optional
        Service of the target from the settings.
    now_ms : float, optional
        Present time on the monotonic clock in milliseconds.
    """

    def __init__(self, address, on_changed, on_crashed, service="", now_ms=0.0):
        self._address = address
        self._service = service
        self._confirm_until_ms = now_ms + CONFIRM_MS
        # Whether the state is that of a former process of this node, and the target
        # has not confirmed it.
        self._is_unconfirmed = False
        self._departures = Departures()
        self._on_changed = on_changed
        self._on_crashed = on_crashed
        self._info = None
        self._gate = PriorityGate(1)
        self._unreachable_until_ms = 0.0
        self._detector = OutlierDetector()
        self._crash_detector = CrashDetector()
        self._rate_limit = NamedRateLimit()
        self._work = WorkEstimator()

    @property
    def address(self):
        """IP address and TCP port of the target."""
        return self._address

    @property
    def info(self):
        """Latest state of the target, None before its first heartbeat."""
        return self._info

    @property
    def gate(self):
        """Gate that limits the calls to the target's slots."""
        return self._gate

    @property
    def crash_detector(self):
        """Calls at the present process of the target."""
        return self._crash_detector

    @property
    def work(self):
        """Execution times of the present process of the target."""
        return self._work

    @property
    def rate_limit(self):
        """Calls a second that the target accepts, None if it names no limit."""
        return self._rate_limit.per_s

    @property
    def is_ready(self):
        """Whether the target accepts new calls."""
        return self._info is not None and self._info.state is TargetState.READY

    def handle_heartbeat(self, heartbeat, now_ms, wall_ms):
        """Apply a heartbeat unless a newer one has already been applied.

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
            Whether the heartbeat was applied.
        """
        current = self._info
        if current is not None and self._is_old(current, heartbeat):
            if heartbeat.is_draining and _is_same_process(current, heartbeat):
                self._note_draining()
            _LOG.info(
                "old heartbeat ignored",
                target=heartbeat.target_id,
                order=heartbeat.order,
                known=current.order,
            )
            return False
        state = TargetState.DRAINING if heartbeat.is_draining else TargetState.READY
        if current is not None and _is_same_process(current, heartbeat):
            if current.state is TargetState.LEFT:
                state = TargetState.LEFT
            elif current.state is TargetState.DRAINING:
                state = TargetState.DRAINING
        if self._departures.has_left(heartbeat.target_id, heartbeat.started_ms):
            state = TargetState.LEFT
        self._is_unconfirmed = False
        cold_until_ms = int(wall_ms + heartbeat.cold_ms) if heartbeat.cold_ms else 0
        is_failing = (
            current is not None
            and _is_same_process(current, heartbeat)
            and self._detector.is_failing(now_ms)
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
                version=heartbeat.version,
                work_ms=self._get_work_ms(heartbeat),
            ),
            now_ms,
        )
        return True

    def _is_old(self, current, heartbeat):
        if is_departed(current) and current.target_id != heartbeat.target_id:
            return False
        return heartbeat.order <= current.order

    def _note_draining(self):
        if self._info.state in (TargetState.READY, TargetState.STARTING):
            self._close(TargetState.DRAINING)

    def takes_calls(self, target_id):
        """Return whether a target of a name, beside this node, gets calls."""
        return self.is_ready and self._info.target_id == target_id

    def _get_work_ms(self, heartbeat):
        """Return the published times, none if another process has started."""
        current = self._info
        if current is None or not _is_same_process(current, heartbeat):
            return ()
        return current.work_ms

    def handle_leave(self, target_id, started_ms, wall_ms):
        """Mark a target as left; close its gate if it is the present one.

        The target may be unknown, as this node has just started. Its departure is kept
        all the same, and published unless another target is known.

        Parameters
        ----------
        target_id : str
            Name of the target that has left.
        started_ms : int or None
            Start of its process, None if the message did not contain it.
        wall_ms : int
            Present time in milliseconds since the epoch.
        """
        current = self._info
        if current is not None and current.target_id == target_id:
            if started_ms is not None and started_ms < current.started_ms:
                # Late, or the clock was set back between two starts under one name.
                _LOG.warning(
                    "departure of another start",
                    target=target_id,
                    started_ms=started_ms,
                    known_ms=current.started_ms,
                )
                return
            until_ms = current.started_ms if started_ms is None else started_ms
            self._departures.note(target_id, until_ms)
            self._info = attrs.evolve(current, started_ms=until_ms)
            if current.state is not TargetState.LEFT:
                self._close(TargetState.LEFT)
            return
        until_ms = wall_ms if started_ms is None else started_ms
        known = None if current is None else current.target_id
        _LOG.info("departure of an unknown target", target=target_id, known=known)
        self._departures.note(target_id, until_ms)
        if current is None:
            self._info = make_departed(target_id, self._service, until_ms)
            self._on_changed()

    def note_leaving(self, target):
        """Close the gate of a target that says in an answer that it leaves.

        Parameters
        ----------
        target : TargetInfo
            State of the target when the call was sent to it; an answer of a former
            process is ignored.
        """
        if self.is_ready and _is_same_process(self._info, target):
            self._close(TargetState.DRAINING)

    def restore(self, info, now_ms):
        """Restore the target's state from before a restart of this node.

        Parameters
        ----------
        info : TargetInfo
            State that the former process of this node published; a peer or the
            node's stored row has kept it.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        current = self._info
        if is_departed(info):
            self._departures.note(info.target_id, info.started_ms)
        if self._departures.has_left(info.target_id, info.started_ms):
            info = attrs.evolve(info, state=TargetState.LEFT)
        if current is None or _is_later(info, current):
            _LOG.info(
                "target known from a peer",
                target=info.target_id,
                state=info.state.value,
                order=info.order,
            )
            info = attrs.evolve(info, is_reachable=True, is_failing=False)
            self._replace(info, now_ms)
            self._is_unconfirmed = info.state is TargetState.READY
            self.check_confirmed(now_ms)
        elif _is_same_process(current, info) and info.state is not current.state:
            if info.state not in (TargetState.READY, TargetState.STARTING):
                self._close(info.state)

    def check_confirmed(self, now_ms):
        """Send no calls to a target that has sent no heartbeat since this node started.

        It may have announced to a former process that it leaves.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        if self._is_unconfirmed and now_ms >= self._confirm_until_ms:
            self._is_unconfirmed = False
            if self.is_ready:
                _LOG.warning("target not confirmed", target=self._info.target_id)
                self._close(TargetState.STARTING)

    def _close(self, state):
        if state is not TargetState.STARTING:
            _LOG.info("target leaving", target=self._info.target_id, state=state.value)
        self._info = attrs.evolve(self._info, state=state)
        self._gate.close(Reason.DRAINING)
        self._on_changed()

    def _replace(self, info, now_ms):
        previous = self._info
        self._info = info
        if previous is None or previous.started_ms != info.started_ms:
            _LOG.info(
                "new target",
                target=info.target_id,
                service=info.service,
                slots=info.slots,
                state=info.state.value,
                started_ms=info.started_ms,
                before=None if previous is None else previous.target_id,
            )
            if previous is not None:
                self._check_crashed(previous)
            self._gate.close(Reason.DRAINING)
            self._gate = PriorityGate(max(1, info.slots))
            self._detector = OutlierDetector()
            self._crash_detector = CrashDetector()
            self._rate_limit = NamedRateLimit()
            self._work = WorkEstimator()
            self._unreachable_until_ms = 0.0
        elif previous.slots != info.slots:
            self._gate.resize(max(1, info.slots), now_ms)
        if info.state is not TargetState.READY:
            self._gate.close(Reason.DRAINING)
        elif previous is not None and previous.state is TargetState.STARTING:
            self._gate.reopen()
        if previous is None or _clear_volatile(previous) != _clear_volatile(info):
            if previous is not None and previous.state is not info.state:
                _LOG.info("target state", target=info.target_id, state=info.state.value)
            self._on_changed()

    def _check_crashed(self, info):
        """Report a crash if a process that has ended lost calls while it was ready."""
        if info.state is not TargetState.READY:
            return
        calls = self._crash_detector.take_crash()
        if calls:
            self._on_crashed(info, calls)

    def note_unreachable(self, now_ms):
        """Mark the target as unreachable and back off from connecting to it."""
        self._unreachable_until_ms = now_ms + CONNECT_BACKOFF_MS
        if self._info is not None:
            self._check_crashed(self._info)
        if self._info is not None and self._info.is_reachable:
            _LOG.warning("target unreachable", target=self._info.target_id)
            self._info = attrs.evolve(self._info, is_reachable=False)
            self._on_changed()

    def note_reachable(self):
        """Mark the target as reachable after a connection to it was opened."""
        if self._info is not None and not self._info.is_reachable:
            _LOG.info("target reachable again", target=self._info.target_id)
            self._info = attrs.evolve(self._info, is_reachable=True)
            self._on_changed()

    def note_rate_limit(self, target, rate_limit, now_ms):
        """Apply the rate limit that an answer of the target names.

        Parameters
        ----------
        target : TargetInfo
            State of the target when the call was sent to it; an answer of a former
            process is ignored.
        rate_limit : float or None
            Calls a second that the target accepts, None if the answer names no limit.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        if not _is_same_process(self._info, target):
            return
        if self._rate_limit.update(rate_limit, now_ms):
            _LOG.info("target rate limit", target=target.target_id, per_s=rate_limit)
            self._gate.set_rate_limit(rate_limit, now_ms)

    def note_outcome(self, is_failure, now_ms):
        """Record the outcome of a call to the target.

        Parameters
        ----------
        is_failure : bool
            Whether the target failed the call.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        self._detector.record(is_failure, now_ms)
        self.check_failing(now_ms)

    def check_failing(self, now_ms):
        """Notify other nodes if the target has started or stopped failing calls.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        is_failing = self._detector.is_failing(now_ms)
        if self._info is None or self._info.is_failing is is_failing:
            return
        _LOG.info(
            "target fails calls" if is_failing else "target tried again",
            target=self._info.target_id,
        )
        self._info = attrs.evolve(self._info, is_failing=is_failing)
        self._on_changed()

    def publish_work(self, now_ms):
        """Notify other nodes if the target's execution times have changed much.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        if self._info is None:
            return
        work_ms = self._work.refresh(now_ms)
        if work_ms == self._info.work_ms or not work_ms:
            return
        _LOG.info(
            "target times",
            target=self._info.target_id,
            work_ms=dict(work_ms),
            before=dict(self._info.work_ms),
        )
        self._info = attrs.evolve(self._info, work_ms=work_ms)
        self._on_changed()

    def may_connect(self, now_ms):
        """Return whether the back-off after a failed connection has passed."""
        return now_ms >= self._unreachable_until_ms


def _is_later(info, current):
    """Return whether a state of a former process of this node replaces the present."""
    if is_departed(current) and info.target_id != current.target_id:
        return True
    return current.started_ms < info.started_ms


def _is_same_process(current, other):
    same_id = current.target_id == other.target_id
    return same_id and current.started_ms == other.started_ms


def _clear_volatile(info):
    # These fields can change with every heartbeat; a change of only these is not sent
    # to other nodes.
    return attrs.evolve(info, sequence=0, cold_until_ms=0)
