"""Choice of the node that decides on a roll-out."""

import hashlib

HASH_BYTES = 8
# A coordinator tells all nodes the state twice a second. One that was not heard for
# this time is passed over; in large deployments the state exchange reports a lost node
# only later.
MAX_SILENCE_MS = 1600.0
# Nodes to which evidence is sent, so that the next one by rank can take over at once.
EVIDENCE_RECEIVERS = 2


def rank_nodes(state, records):
    """Return the names of nodes in the order in which they coordinate a roll-out.

    Nodes beside targets of the new version come last, because they come while the
    roll-out runs and go if it is rolled back.

    Parameters
    ----------
    state : RolloutState
        State of the roll-out.
    records : iterable of PeerRecord
        Records of the nodes that are not lost.

    Returns
    -------
    list of str
        Names of the nodes that are not stopping.
    """

    def get_rank(record):
        is_new = record.target is not None and record.target.version == state.version
        text = f"rollout {state.service} {record.node_id}"
        return is_new, hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest()

    ready = [record for record in records if not record.is_stopping]
    return [record.node_id for record in sorted(ready, key=get_rank)]


class CoordinatorChoice:
    """Follows which coordinators of roll-outs are heard.

    Parameters
    ----------
    own_id : str
        Name of this node.
    """

    def __init__(self, own_id):
        self._own_id = own_id
        self._heard_ms = {}

    def note_heard(self, service, node_id, now_ms):
        """Record a message of a node that coordinates the roll-out of a service."""
        self._heard_ms[service, node_id] = now_ms

    def choose(self, service, ranked, now_ms):
        """Return the nodes that receive evidence; the first one coordinates.

        Parameters
        ----------
        service : str
            Service of the roll-out.
        ranked : list of str
            Result of :func:`rank_nodes`.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        list of str
            Names of up to two nodes.
        """
        chosen = []
        for node_id in ranked:
            if not chosen and self._is_silent(service, node_id, now_ms):
                continue
            chosen.append(node_id)
            if len(chosen) == EVIDENCE_RECEIVERS:
                break
        return chosen

    def _is_silent(self, service, node_id, now_ms):
        if node_id == self._own_id:
            return False
        # The silence of a node begins when it is first expected to coordinate.
        heard_ms = self._heard_ms.setdefault((service, node_id), now_ms)
        return now_ms - heard_ms > MAX_SILENCE_MS

    def forget(self, service):
        """Forget whom this node has heard in the roll-out of a service."""
        for key in [key for key in self._heard_ms if key[0] == service]:
            del self._heard_ms[key]
