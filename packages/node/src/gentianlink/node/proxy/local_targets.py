"""The local targets: those that announced themselves to this node."""

from gentianlink.core.errors import AnnouncementInvalid
from gentianlink.core.target_load import TargetLoad
from gentianlink.core.target_state import TargetState
from gentianlink.node.proxy.gate import Gate
from gentianlink.node.proxy.local_target import LocalTarget
from gentianlink.ops.validate_announcement import validate_announcement

MAX_TARGETS = 64
MIN_PAUSE_MS = 1000
_ENDING_STATES = (TargetState.DRAINING, TargetState.LEFT)


class LocalTargets:
    """Local targets and their leases.

    Parameters
    ----------
    membership : Membership
        Publishes the records of the targets.
    lease_ms : int
        Length of a lease in milliseconds; each announcement renews the lease.
    """

    def __init__(self, membership, lease_ms):
        self._membership = membership
        self._lease_ms = lease_ms
        self._targets = {}
        self._checked_ms = None
        self._is_draining = False
        self._published_incarnation = membership.own_record.incarnation

    def get(self, target_id):
        """Return the local target with a name, None if there is none."""
        return self._targets.get(target_id)

    def get_all(self):
        """Return all local targets."""
        return list(self._targets.values())

    def get_loads(self):
        """Return the load of each local target, by name.

        Returns
        -------
        dict of str to TargetLoad
            State, calls in flight, free slots and queue length of each target.
        """
        return {
            target.target_id: TargetLoad(
                service=target.service,
                state=target.state.value,
                in_flight=target.gate.in_flight,
                free_slots=target.gate.free_slots,
                queued=target.gate.queued,
            )
            for target in self.get_all()
        }

    def announce(self, announcement, now_ms):
        """Apply an announcement, or renew the lease of a target by a heartbeat.

        Parameters
        ----------
        announcement : Announcement
            Announcement or heartbeat of the target.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Raises
        ------
        AnnouncementInvalid
            If the announcement is invalid; nothing of it is applied.
        """
        problems = validate_announcement(announcement)
        if problems:
            raise AnnouncementInvalid(problems)
        state = TargetState(announcement.state)
        target = self._targets.get(announcement.target_id)
        if self._is_draining or _is_outdated(target, announcement, state):
            return
        if target is not None and _is_other_process(target, announcement, state):
            self._end(target, now_ms)
            target = None
        if state is TargetState.LEFT:
            if target is not None:
                self._end(target, now_ms)
            return
        if target is None:
            self._add(announcement, state, now_ms)
            return
        target.expires_ms = now_ms + self._lease_ms
        self._update(target, announcement, state, now_ms)

    def _add(self, announcement, state, now_ms):
        if len(self._targets) >= MAX_TARGETS:
            raise AnnouncementInvalid([f"more than {MAX_TARGETS} targets"])
        target = LocalTarget(
            service=announcement.service,
            target_id=announcement.target_id,
            address=announcement.address,
            port=announcement.port,
            state=state,
            slots=announcement.slots,
            gate=Gate(announcement.slots),
            expires_ms=now_ms + self._lease_ms,
        )
        self._targets[target.target_id] = target
        if state is TargetState.DRAINING:
            target.gate.drain()
        self._publish(target, now_ms)

    def _update(self, target, announcement, state, now_ms):
        if (target.state, target.slots) == (state, announcement.slots):
            return
        target.state = state
        if target.slots != announcement.slots:
            target.slots = announcement.slots
            target.gate.resize(announcement.slots)
        if state is TargetState.DRAINING:
            target.gate.drain()
        self._publish(target, now_ms)

    def _end(self, target, now_ms):
        del self._targets[target.target_id]
        target.gate.drain()
        target.state = TargetState.LEFT
        self._publish(target, now_ms)

    def remove(self, target_id, now_ms):
        """Remove a target that has left.

        Parameters
        ----------
        target_id : str
            Name of the target.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        target = self._targets.get(target_id)
        if target is not None:
            self._end(target, now_ms)

    def expire(self, now_ms):
        """Remove the targets whose leases have expired.

        After a pause of this process, heartbeats that arrived meanwhile may still be
        unread, so the leases are extended by the length of the pause.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        gap_ms = 0.0 if self._checked_ms is None else now_ms - self._checked_ms
        self._checked_ms = now_ms
        for target in self.get_all():
            if gap_ms > MIN_PAUSE_MS:
                target.expires_ms += gap_ms
            if target.expires_ms <= now_ms:
                self._end(target, now_ms)
        self._republish(now_ms)

    def _republish(self, now_ms):
        incarnation = self._membership.own_record.incarnation
        if incarnation == self._published_incarnation:
            return
        self._published_incarnation = incarnation
        for target in self.get_all():
            self._publish(target, now_ms)

    def drain_all(self, now_ms):
        """Drain all local targets and publish their state.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        self._is_draining = True
        for target in self.get_all():
            target.gate.drain()
            target.state = TargetState.DRAINING
            self._publish(target, now_ms)

    def _publish(self, target, now_ms):
        self._membership.publish_target(
            target.service, target.target_id, target.state, target.slots, now_ms
        )


def _get_location(target):
    return target.service, target.address, target.port


def _is_outdated(target, announcement, state):
    if target is None or state not in _ENDING_STATES:
        return False
    return _get_location(target) != _get_location(announcement)


def _is_other_process(target, announcement, state):
    if _get_location(target) != _get_location(announcement):
        return True
    return target.state in _ENDING_STATES and state not in _ENDING_STATES
