"""Latest records of other nodes and of their targets."""

import random

import attrs

from gentianlink.core.target_state import TargetState
from gentianlink.node.log import get_logger
from gentianlink.sidecar.exchange.record_digest import RecordDigest
from gentianlink.sidecar.peer_record import PeerRecord
from gentianlink.sidecar.routing.choose import COLD_SHARE, EVEN_RATIO, Candidate

_LOG = get_logger("peers")

# Panic threshold: if fewer targets than this share are healthy, failing ones get calls
# as well. The cause of their failures is then outside of the targets, and the healthy
# ones could not take the calls of all.
MIN_HEALTHY_SHARE = 0.5
# A node that has been lost for this long is removed.
FORGET_MS = 60_000.0
# Records of a removed node that other nodes still hold are ignored for this time.
TOMBSTONE_MS = 2 * FORGET_MS
# Targets that a choice looks at first nearby, and at most in other data centres. A scan
# of 500 targets takes 0.8 ms; services of the deployments have up to 53, and twice as
# many during a roll-out.
MAX_NEAR = 24
MAX_FAR = 128
# A node that has been heard of so recently is not lost, whatever others say.
HEARD_MS = 1000.0


@attrs.define
class _Peer:
    record: PeerRecord
    last_heard_ms: float
    version: int = 0
    # Time since when the node is lost, None if it is not.
    lost_ms: float | None = None

    @property
    def is_lost(self):
        return self.lost_ms is not None


@attrs.frozen
class _ServiceView:
    """Other nodes whose targets take calls of a service.

    Attributes
    ----------
    near, far : list of _Peer
        Nodes of this node's data centre, and of others.
    is_even : bool
        Whether the targets in this node's data centre have about the same times.
    """

    near: list[_Peer]
    far: list[_Peer]
    is_even: bool


class PeerDirectory:
    """Latest record of each node, with its catalogue version and reachability.

    Parameters
    ----------
    own_record : PeerRecord
        Record of this node.
    on_record : callable, optional
        Called with each record of another node that is stored.
    """

    def __init__(self, own_record, on_record=lambda record: None):
        self._own = own_record
        self._on_record = on_record
        self._peers = {}
        # _ServiceView by service; cleared when a record changes.
        self._by_service = {}
        self._digest = RecordDigest()
        self._digest.put(own_record)
        # Order of the last record of each removed node, and when it was removed.
        self._tombstones = {}
        self._newest_version = 0
        self._newest_holder = ""
        self._node_by_host = {}

    @property
    def digest(self):
        """Digests of all records, this node's included."""
        return self._digest

    @property
    def newest_holder(self):
        """Name of a node that has the newest known version in force."""
        return self._newest_holder

    @property
    def own(self):
        """Record of this node."""
        return self._own

    @property
    def count(self):
        """Number of known nodes, including this one."""
        return len(self._peers) + 1

    def update_own(self, **changes):
        """Change fields of this node's record and increment its sequence number."""
        sequence = self._own.sequence + 1
        self._own = attrs.evolve(self._own, sequence=sequence, **changes)
        self._by_service.clear()
        self._digest.put(self._own)

    def update_record(self, record, now_ms):
        """Store the record of another node unless it is older than the stored one.

        Parameters
        ----------
        record : PeerRecord
            The record.
        now_ms : float
            Current time on the monotonic clock in milliseconds.

        Returns
        -------
        previous : PeerRecord or None
            The record that was replaced, if the node has restarted since then.
        """
        if record.node_id == self._own.node_id:
            return None
        peer = self._peers.get(record.node_id)
        if peer is None:
            if self._is_outdated(record):
                return None
            _log_found(record)
            self._by_service.clear()
            self._digest.put(record)
            self._peers[record.node_id] = _Peer(record, now_ms)
            self._node_by_host[_get_host(record)] = record.node_id
            self._on_record(record)
            return None
        if record.order <= peer.record.order:
            return None
        previous = peer.record
        _log_change(previous, record)
        self._digest.put(record)
        peer.record = record
        self._node_by_host[_get_host(record)] = record.node_id
        # A newer record shows that the node has been alive since it was lost.
        peer.lost_ms = None
        before, now = _get_view_key(previous), _get_view_key(record)
        if before != now:
            self._by_service.pop(before[0], None)
            self._by_service.pop(now[0], None)
        self._on_record(record)
        if previous.incarnation == record.incarnation:
            return None
        peer.version = 0
        self._find_newest_version()
        return previous

    def _is_outdated(self, record):
        order, _ = self._tombstones.get(record.node_id, ((0, 0), 0.0))
        return record.order <= order

    def note_heard(self, node_id, version, now_ms):
        """Record that a message of a node has arrived.

        Parameters
        ----------
        node_id : str
            Name of the node.
        version : int
            Catalogue version in force there.
        now_ms : float
            Current time on the monotonic clock in milliseconds.
        """
        peer = self._peers.get(node_id)
        if peer is None:
            return
        peer.last_heard_ms = now_ms
        self._update_version(peer, version)
        if peer.is_lost:
            peer.lost_ms = None
            _LOG.info("peer back", peer=node_id)

    def note_version(self, host, version):
        """Record the catalogue version in force at the node with a given IP address.

        Parameters
        ----------
        host : str
            IP address of the node.
        version : int
            Catalogue version in force there.
        """
        self.note_holder(self._node_by_host.get(host), version)

    def note_holder(self, node_id, version):
        """Record that a node is said to have a catalogue version in force."""
        peer = self._peers.get(node_id)
        if peer is not None:
            self._update_version(peer, version)

    def _update_version(self, peer, version):
        peer.version = max(peer.version, version)
        if version > self._newest_version:
            self._newest_version = version
            self._newest_holder = peer.record.node_id

    def _find_newest_version(self):
        """Find the newest version again, as a node no longer has one in force."""
        self._newest_version, self._newest_holder = max(
            ((peer.version, name) for name, peer in self._peers.items()),
            default=(0, ""),
        )

    def note_lost(self, node_id, why, now_ms):
        """Mark a node as lost because it does not answer.

        Parameters
        ----------
        node_id : str
            Name of the node.
        why : str
            What was observed, for the log.
        now_ms : float
            Current time on the monotonic clock in milliseconds.
        """
        peer = self._peers.get(node_id)
        if peer is not None and not peer.is_lost:
            peer.lost_ms = now_ms
            _LOG.warning("peer lost", peer=node_id, why=why)

    def note_reported_lost(self, lost, now_ms):
        """Mark a node as lost because another node has reported that.

        Parameters
        ----------
        lost : LostNode
            The report.
        now_ms : float
            Current time on the monotonic clock in milliseconds.

        Returns
        -------
        bool
            Whether the report was new, and neither refuted by a newer record nor by a
            message of the node itself.
        """
        peer = self._peers.get(lost.node_id)
        if peer is None or peer.is_lost or peer.record.order > lost.order:
            return False
        if now_ms - peer.last_heard_ms < HEARD_MS:
            return False
        self.note_lost(lost.node_id, "reported by another node", now_ms)
        return True

    def forget_old(self, now_ms):
        """Remove the nodes that have been lost for at least `FORGET_MS`."""
        for node_id, peer in list(self._peers.items()):
            if peer.is_lost and now_ms - peer.lost_ms >= FORGET_MS:
                _LOG.info("peer forgotten", peer=node_id)
                self._digest.remove(node_id)
                self._tombstones[node_id] = peer.record.order, now_ms
                del self._peers[node_id]
                self._node_by_host.pop(_get_host(peer.record), None)
                self._by_service.clear()
                self._find_newest_version()
        for node_id, (_, removed_ms) in list(self._tombstones.items()):
            if now_ms - removed_ms >= TOMBSTONE_MS:
                del self._tombstones[node_id]

    def get(self, node_id):
        """Return the record of another node, None if the node is unknown."""
        peer = self._peers.get(node_id)
        return None if peer is None else peer.record

    def get_records(self):
        """Return the records of all other nodes."""
        return [peer.record for peer in self._peers.values()]

    def get_live_records(self):
        """Return the records of all other nodes that are not lost."""
        return [peer.record for peer in self._peers.values() if not peer.is_lost]

    def is_lost(self, node_id):
        """Return whether a node is unknown or lost."""
        peer = self._peers.get(node_id)
        return peer is None or peer.is_lost

    def get_newest_version(self):
        """Return the newest catalogue version that another node has in force."""
        return self._newest_version

    def get_work_ms(self, rule_name):
        """Return the typical time of a rule at the slowest target in milliseconds.

        Parameters
        ----------
        rule_name : str
            Name of the rule.

        Returns
        -------
        int
            Longest of the published times, 0 if there is none.
        """
        records = (self._own, *self.get_records())
        targets = [record.target for record in records if record.target is not None]
        return max(
            (dict(item.work_ms).get(rule_name, 0) for item in targets), default=0
        )

    def get_holders(self, version):
        """Return the nodes that have a version in force, own data centre first.

        Parameters
        ----------
        version : int
            Lowest acceptable version; 0 for all nodes.

        Returns
        -------
        list of PeerRecord
            Records of the nodes, without those marked as lost.
        """
        holders = [
            peer.record
            for peer in self._peers.values()
            if peer.version >= version and not peer.is_lost
        ]
        own_data_centre = self._own.data_centre
        return sorted(holders, key=lambda record: record.data_centre != own_data_centre)

    def get_candidates(
        self, service, load_view, is_ejected, now_ms, wall_ms, is_near_only=False
    ):
        """Return the targets of a service that accept new calls.

        Parameters
        ----------
        service : str
            Name of the service.
        load_view : LoadView
            Known loads of the targets.
        is_ejected : callable
            Takes the name of a target; returns whether calls to it failed recently.
        now_ms : float
            Current time on the monotonic clock in milliseconds.
        wall_ms : int
            Current time in milliseconds since the epoch.
        is_near_only : bool, optional
            Whether to return only healthy targets in this node's data centre that look
            free: the own one alone if it is free and no other is faster, else at most
            :data:`MAX_NEAR` of them.

        Returns
        -------
        list of Candidate
            Healthy targets. Targets that fail calls are added if most do or if no
            healthy one has a free slot. If the list would be empty, suspect targets are
            returned instead: their node is silent or lost, or calls to them failed.
        """
        view = self._get_view(service)
        own = self._own if _takes_calls(self._own, service) else None

        def make(record, is_near):
            return _make_candidate(
                record, record is own, is_near, load_view, now_ms, wall_ms
            )

        if is_near_only:
            return self._list_free_near(view, own, make, is_ejected)
        healthy = []
        failing = []
        suspect = []

        def add(record, is_near, is_lost):
            candidate = make(record, is_near)
            target = record.target
            if is_lost or not target.is_reachable or is_ejected(target.target_id):
                suspect.append(candidate)
            else:
                (failing if target.is_failing else healthy).append(candidate)

        if own is not None:
            add(own, True, False)
        for peer in view.near:
            add(peer.record, True, peer.is_lost)
        for peer in _sample(view.far, MAX_FAR):
            add(peer.record, False, peer.is_lost)
        is_full = not any(item.free >= 1 for item in healthy)
        if is_full or len(healthy) < MIN_HEALTHY_SHARE * (len(healthy) + len(failing)):
            healthy += failing
        return healthy or suspect

    def _list_free_near(self, view, own, make, is_ejected):
        free = []
        if own is not None and _is_healthy(own.target, is_ejected):
            candidate = make(own, True)
            if candidate.free >= 1:
                free.append(candidate)
                if view.is_even:
                    return free
        for peer in _sample(view.near, MAX_NEAR):
            if not peer.is_lost and _is_healthy(peer.record.target, is_ejected):
                candidate = make(peer.record, True)
                if candidate.free >= 1:
                    free.append(candidate)
        return free

    def _get_view(self, service):
        view = self._by_service.get(service)
        if view is None:
            near = []
            far = []
            for peer in self._peers.values():
                if _takes_calls(peer.record, service):
                    is_near = peer.record.data_centre == self._own.data_centre
                    (near if is_near else far).append(peer)
            targets = [peer.record.target for peer in near]
            if _takes_calls(self._own, service):
                targets.append(self._own.target)
            view = _ServiceView(near, far, _are_even(targets))
            self._by_service[service] = view
        return view


def _make_candidate(record, is_own, is_near, load_view, now_ms, wall_ms):
    target = record.target
    in_flight, waiting, wait_ms, is_known = load_view.estimate(record.node_id, now_ms)
    is_cold = wall_ms < target.cold_until_ms
    return Candidate(
        node_id=record.node_id,
        target_id=target.target_id,
        is_own=is_own,
        is_near=is_near,
        slots=target.slots * (COLD_SHARE if is_cold else 1.0),
        in_flight=in_flight,
        waiting=waiting,
        wait_ms=wait_ms,
        is_load_known=is_own or is_known,
        version=target.version,
        work_ms=target.work_ms,
        data_centre=record.data_centre,
    )


def _sample(peers, most):
    return peers if len(peers) <= most else random.sample(peers, most)


def _is_healthy(target, is_ejected):
    if not target.is_reachable or target.is_failing:
        return False
    return not is_ejected(target.target_id)


def _are_even(targets):
    """Return whether no target is much faster than another one for any rule."""
    shortest = {}
    longest = {}
    for target in targets:
        for name, work_ms in target.work_ms:
            shortest[name] = min(work_ms, shortest.get(name, work_ms))
            longest[name] = max(work_ms, longest.get(name, work_ms))
    return all(longest[name] <= EVEN_RATIO * shortest[name] for name in shortest)


def _get_host(record):
    return record.peer_address.rpartition(":")[0]


def _get_open_service(record):
    """Return the service for which a node's target takes calls, None if for none."""
    target = record.target
    if target is None or record.is_stopping or target.state is not TargetState.READY:
        return None
    return target.service


def _get_view_key(record):
    """Return what the view of a service depends on, the service first."""
    work_ms = () if record.target is None else record.target.work_ms
    return _get_open_service(record), work_ms


def _takes_calls(record, service):
    return _get_open_service(record) == service


def _log_found(record):
    _LOG.info("peer found", peer=record.node_id, **_describe(record))


def _log_change(previous, record):
    """Log what has changed; work times and the like only at debug level."""
    if _get_logged_values(previous) == _get_logged_values(record):
        _LOG.debug("peer changed", peer=record.node_id, sequence=record.sequence)
        return
    before, now = _describe(previous), _describe(record)
    changed = {name: value for name, value in now.items() if before[name] != value}
    changed["target"] = now["target"]
    _LOG.info("peer changed", peer=record.node_id, sequence=record.sequence, **changed)


def _get_logged_values(record):
    target = record.target
    if target is None:
        return record.incarnation, record.is_stopping
    return (
        record.incarnation,
        record.is_stopping,
        target.target_id,
        target.state,
        target.is_reachable,
        target.is_failing,
    )


def _describe(record):
    target = record.target
    return {
        "incarnation": record.incarnation,
        "is_stopping": record.is_stopping,
        "target": None if target is None else target.target_id,
        "state": None if target is None else target.state.value,
        "is_reachable": None if target is None else target.is_reachable,
        "is_failing": None if target is None else target.is_failing,
    }
