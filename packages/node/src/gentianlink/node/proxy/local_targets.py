"""The targets beside this node, as they announce themselves."""

from gentianlink.core.target_load import TargetLoad
from gentianlink.core.target_record import TargetRecord
from gentianlink.core.target_state import TargetState
from gentianlink.node.proxy.gate import Gate
from gentianlink.node.proxy.local_target import LocalTarget


class LocalTargets:
    """Announced targets and their leases.

    Parameters
    ----------
    membership : Membership
        Takes the records of the targets.
    lease_ms : int
        Time in milliseconds for which an announcement holds.
    """

    def __init__(self, membership, lease_ms):
        self._membership = membership
        self._lease_ms = lease_ms
        self._targets = {}
        self._sequence = 0

    def get(self, target_id):
        """Return a target by name, None if it is not beside this node."""
        return self._targets.get(target_id)

    def get_all(self):
        """Return all targets beside this node."""
        return list(self._targets.values())

    def get_loads(self):
        """Return how busy the targets beside this node are, by name.

        Returns
        -------
        dict of str to TargetLoad
            Use of slots and queue of each target.
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
        """Take in an announcement or a heartbeat.

        Parameters
        ----------
        announcement : Announcement
            What the target said.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        target = self._targets.get(announcement.target_id)
        state = TargetState(announcement.state)
        is_news = target is None or target.state is not state
        if target is None:
            target = self._make_target(announcement, state)
            self._targets[announcement.target_id] = target
        target.state = state
        target.expires_ms = now_ms + self._lease_ms
        if state in (TargetState.DRAINING, TargetState.LEFT):
            target.gate.drain()
        if is_news:
            self._publish(target, announcement.slots)

    def _make_target(self, announcement, state):
        return LocalTarget(
            service=announcement.service,
            target_id=announcement.target_id,
            address=announcement.address,
            port=announcement.port,
            state=state,
            gate=Gate(announcement.slots),
            expires_ms=0.0,
        )

    def remove(self, target_id):
        """Take in that a target has left.

        Parameters
        ----------
        target_id : str
            Name of the target.
        """
        target = self._targets.pop(target_id, None)
        if target is None:
            return
        target.gate.drain()
        target.state = TargetState.LEFT
        self._publish(target, 0)

    def expire(self, now_ms):
        """Remove the targets whose leases have lapsed.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        for target in self.get_all():
            if target.expires_ms <= now_ms:
                self.remove(target.target_id)

    def drain_all(self):
        """Say that all targets beside this node take no new work."""
        for target in self.get_all():
            target.gate.drain()
            target.state = TargetState.DRAINING
            self._publish(target, 0)

    def _publish(self, target, slots):
        own = self._membership.own_record
        self._sequence += 1
        record = TargetRecord(
            service=target.service,
            target_id=target.target_id,
            node_id=own.node_id,
            incarnation=own.incarnation,
            sequence=self._sequence,
            state=target.state,
            slots=slots,
        )
        self._membership.merge([], [record])
