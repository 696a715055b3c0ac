"""Timers of the mesh: heartbeats, silent links, suspicions and pauses of this node."""

import random

from gentianlink.node.log import get_logger

_LOG = get_logger("mesh")

TICK_MS = 200
PAUSE_THRESHOLD_MS = 1500


class Monitor:
    """Does the periodic work of the mesh; a late tick means that this node was paused.

    Parameters
    ----------
    membership : Membership
        Nodes and targets.
    mesh : Mesh
        Links of this node.
    settings : MeshSettings
        Periods and timeouts.
    on_endpoints_changed : callable
        Called without arguments when an expired timer changed the endpoints.
    rng : random.Random, optional
        Source of randomness.
    """

    def __init__(self, membership, mesh, settings, on_endpoints_changed, rng=random):
        self._membership = membership
        self._mesh = mesh
        self._settings = settings
        self._on_endpoints_changed = on_endpoints_changed
        self._rng = rng
        self._last_tick_ms = None
        self._next_heartbeat_ms = 0.0
        self._next_comparison_ms = 0.0

    def tick(self, now_ms):
        """Do the work that is due.

        After a pause of this process the elapsed time is no evidence against the
        neighbours: the timers of links and suspects are extended, and this node
        publishes its record anew to refute a suspicion by others in the meantime.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        gap_ms = 0.0 if self._last_tick_ms is None else now_ms - self._last_tick_ms
        self._last_tick_ms = now_ms
        if gap_ms > PAUSE_THRESHOLD_MS:
            _LOG.warning("this process was paused", gap_ms=int(gap_ms))
            self._mesh.touch_links(now_ms)
            self._membership.extend_timers(gap_ms)
            self._membership.reassert_alive(now_ms)
        self._mesh.close_silent_links(now_ms, self._settings.suspect_after_ms)
        if self._membership.check(now_ms):
            self._on_endpoints_changed()
        self._send_due(now_ms)

    def _send_due(self, now_ms):
        if now_ms >= self._next_heartbeat_ms:
            self._next_heartbeat_ms = now_ms + self._settings.heartbeat_ms
            self._mesh.send_heartbeats()
        if now_ms >= self._next_comparison_ms:
            period_ms = self._settings.anti_entropy_ms
            self._next_comparison_ms = now_ms + period_ms * self._rng.uniform(0.5, 1.5)
            self._mesh.compare_records(self._rng)
