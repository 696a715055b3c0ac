"""What this node knows of other nodes and of their targets."""

import attrs

from gentianlink.core.target_state import TargetState
from gentianlink.node.log import get_logger
from gentianlink.sidecar.choose import COLD_SHARE, Candidate
from gentianlink.sidecar.peer_record import PeerRecord

_LOG = get_logger("peers")

# A node that was not heard of for so many periods of the exchange is used only if no
# other is left.
QUIET_PERIODS = 2.5
# Time between two exchanges of a pair in a small deployment; answers to calls carry
# loads and versions as well.
MIN_PERIOD_MS = 3000.0
# Exchanges that a node takes part in; each costs about a millisecond of processor.
EXCHANGES_PER_S = 4
MS_PER_S = 1000
# If fewer targets are sound, something else makes the others fail, and the sound ones
# could not take the calls of all.
MIN_SOUND_SHARE = 0.5
# A node that was not heard of for this long is forgotten.
FORGET_MS = 60_000.0


@attrs.define
class _Peer:
    record: PeerRecord
    heard_ms: float
    version: int = 0
    is_lost: bool = False


class PeerDirectory:
    """Latest statement of each node.

    Parameters
    ----------
    own_record : PeerRecord
        Record of this node.
    """

    def __init__(self, own_record):
        self._own = own_record
        self._peers = {}
        # Peers by the service of their target; made anew after a change of a record.
        self._by_service = {}

    @property
    def own(self):
        """Record of this node."""
        return self._own

    @property
    def count(self):
        """Number of nodes, this one included."""
        return len(self._peers) + 1

    def state_own(self, **changes):
        """Change the record of this node, with the next sequence number."""
        sequence = self._own.sequence + 1
        self._own = attrs.evolve(self._own, sequence=sequence, **changes)

    def take(self, record, now_ms):
        """Take in what a node said of itself.

        Parameters
        ----------
        record : PeerRecord
            Its statement.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        former : PeerRecord or None
            What was known before if the node has started anew since then.
        """
        if record.node_id == self._own.node_id:
            return None
        known = self._peers.get(record.node_id)
        if known is None:
            _log_change(None, record)
            self._by_service.clear()
            self._peers[record.node_id] = _Peer(record, now_ms)
            return None
        if record.order < known.record.order:
            return None
        former = known.record
        if record.order != former.order:
            _log_change(former, record)
        known.record = record
        self._by_service.clear()
        if former.incarnation == record.incarnation:
            return None
        known.version = 0
        return former

    def note_heard(self, node_id, version, now_ms):
        """Take in that a node is there, with a catalogue version in force.

        Parameters
        ----------
        node_id : str
            Name of the node.
        version : int
            The version.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        peer = self._peers.get(node_id)
        if peer is None:
            return
        peer.heard_ms = now_ms
        peer.version = max(peer.version, version)
        if peer.is_lost:
            peer.is_lost = False
            _LOG.info("peer back", peer=node_id)

    def note_version(self, host, version):
        """Take in the version that a node at an IP number has in force.

        Parameters
        ----------
        host : str
            IP number of the node.
        version : int
            The version.
        """
        for peer in self._peers.values():
            if peer.record.peer_address.rpartition(":")[0] == host:
                peer.version = max(peer.version, version)

    def note_lost(self, node_id, why):
        """Take in that a node does not answer.

        Parameters
        ----------
        node_id : str
            Name of the node.
        why : str
            What was seen, for the log.
        """
        peer = self._peers.get(node_id)
        if peer is not None and not peer.is_lost:
            peer.is_lost = True
            _LOG.warning("peer lost", peer=node_id, why=why)

    def forget_old(self, now_ms):
        """Forget the nodes that were not heard of for long."""
        for node_id, peer in list(self._peers.items()):
            if now_ms - peer.heard_ms >= FORGET_MS:
                _LOG.info("peer forgotten", peer=node_id)
                del self._peers[node_id]
                self._by_service.clear()

    def get(self, node_id):
        """Return the record of a node, None if it is unknown."""
        peer = self._peers.get(node_id)
        return None if peer is None else peer.record

    def get_records(self):
        """Return the records of all other nodes."""
        return [peer.record for peer in self._peers.values()]

    def get_newest_version(self):
        """Return the newest catalogue version that another node has in force."""
        return max((peer.version for peer in self._peers.values()), default=0)

    def get_holders(self, version):
        """Return the nodes that have a version in force, near ones first.

        Parameters
        ----------
        version : int
            Smallest number of the version; 0 for all nodes.

        Returns
        -------
        list of PeerRecord
            Records of the nodes that answered lately.
        """
        holders = [
            peer.record
            for peer in self._peers.values()
            if peer.version >= version and not peer.is_lost
        ]
        near = self._own.data_centre
        return sorted(holders, key=lambda record: record.data_centre != near)

    def get_candidates(
        self, service, load_view, is_avoided, now_ms, wall_ms, is_near_only=False
    ):
        """Return the targets of a service that take new calls.

        Parameters
        ----------
        service : str
            Name of the service.
        load_view : LoadView
            Loads of targets.
        is_avoided : callable
            Takes the name of a target; returns whether calls to it failed lately.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        wall_ms : int
            Present time in milliseconds since the epoch.
        is_near_only : bool, optional
            Whether only sound targets in this node's data centre are wanted.

        Returns
        -------
        list of Candidate
            Targets; those that fail calls only if most do or no other looks free, and
            those of nodes that look lost only if there are no others.
        """
        near = self._own.data_centre
        good = []
        failing = []
        doubtful = []
        for record, is_doubtful in self._list_records(service, now_ms):
            is_near = record.data_centre == near
            if is_near_only and not is_near:
                continue
            target = record.target
            load = load_view.get_load(record.node_id, now_ms)
            is_own = record.node_id == self._own.node_id
            is_cold = wall_ms < target.cold_until_ms
            candidate = Candidate(
                node_id=record.node_id,
                target_id=target.target_id,
                is_own=is_own,
                is_near=is_near,
                slots=target.slots * (COLD_SHARE if is_cold else 1.0),
                in_flight=load.in_flight,
                waiting=load.waiting,
                wait_ms=load.wait_ms,
                is_known=is_own or load_view.is_known(record.node_id, now_ms),
            )
            if is_doubtful or not target.is_reachable or is_avoided(target.target_id):
                doubtful.append(candidate)
            else:
                (failing if target.is_failing else good).append(candidate)
        if is_near_only:
            return good
        is_full = not any(item.free >= 1 for item in good)
        if is_full or len(good) < MIN_SOUND_SHARE * (len(good) + len(failing)):
            good += failing
        return good or doubtful

    def _list_records(self, service, now_ms):
        if _takes_calls(self._own, service):
            yield self._own, False
        peers = self._by_service.get(service)
        if peers is None:
            known = self._peers.values()
            peers = [peer for peer in known if _takes_calls(peer.record, service)]
            self._by_service[service] = peers
        quiet_ms = QUIET_PERIODS * compute_period_ms(self.count)
        for peer in peers:
            yield peer.record, peer.is_lost or now_ms - peer.heard_ms >= quiet_ms


def compute_period_ms(nodes):
    """Return the time between two exchanges of a pair of nodes.

    Parameters
    ----------
    nodes : int
        Number of nodes.

    Returns
    -------
    float
        Time in milliseconds. It grows with the number of nodes, so that a node takes
        part in no more exchanges a second however many there are.
    """
    return max(MIN_PERIOD_MS, MS_PER_S * nodes / EXCHANGES_PER_S)


def _takes_calls(record, service):
    target = record.target
    if target is None or target.service != service or record.is_stopping:
        return False
    return target.state is TargetState.READY


def _log_change(known, record):
    target = record.target
    _LOG.info(
        "peer found" if known is None else "peer changed",
        peer=record.node_id,
        incarnation=record.incarnation,
        sequence=record.sequence,
        is_stopping=record.is_stopping,
        target=None if target is None else target.target_id,
        state=None if target is None else target.state.value,
        is_reachable=None if target is None else target.is_reachable,
        is_failing=None if target is None else target.is_failing,
    )
