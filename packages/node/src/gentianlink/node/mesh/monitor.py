"""What passes with time: heartbeats, silent links, suspicions, and own pauses."""

import random

from gentianlink.node.log import get_logger

_LOG = get_logger("mesh")

TICK_MS = 200
PAUSE_MS = 1500


class Monitor:
    """Does at each tick what is due; a late tick means that this node was paused.

    Parameters
    ----------
    membership : Membership
        Nodes and targets.
    mesh : Mesh
        Links of this node.
    settings : MeshSettings
        Periods and bounds.
    on_endpoints_changed : callable
        Called with no arguments when time has changed what endpoints there are.
    rng : random.Random, optional
        Source of randomness.
    """

    def __init__(self, membership, mesh, settings, on_endpoints_changed, rng=random):
        self._membership = membership
        self._mesh = mesh
        self._settings = settings
        self._on_endpoints_changed = on_endpoints_changed
        self._rng = rng
        self._ticked_ms = None
        self._heartbeat_ms = 0.0
        self._comparison_ms = 0.0

    def tick(self, now_ms):
        """Do what is due.

        After a pause of this process its neighbours did nothing wrong, whatever the
        clocks say: links and suspects get their time again, and this node states
        that it is alive before others hear that it is dead.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        gap_ms = 0.0 if self._ticked_ms is None else now_ms - self._ticked_ms
        self._ticked_ms = now_ms
        if gap_ms > PAUSE_MS:
            _LOG.warning("this process was paused", gap_ms=int(gap_ms))
            self._mesh.touch_links(now_ms)
            self._membership.shift_timers(gap_ms)
            self._membership.restate(now_ms)
        self._mesh.close_silent_links(now_ms, self._settings.suspect_after_ms)
        if self._membership.check(now_ms):
            self._on_endpoints_changed()
        self._send(now_ms)

    def _send(self, now_ms):
        if now_ms >= self._heartbeat_ms:
            self._heartbeat_ms = now_ms + self._settings.heartbeat_ms
            self._mesh.send_heartbeats()
        if now_ms >= self._comparison_ms:
            period_ms = self._settings.anti_entropy_ms
            self._comparison_ms = now_ms + period_ms * self._rng.uniform(0.5, 1.5)
            self._mesh.compare_records(self._rng)
