"""Which nodes answer datagrams, so that both sides of a partition notice it soon.

The exchange of state watches a few links and notices over ten seconds which nodes are
beyond a partition. An owner that does not know it leases the whole limit, as the other
side leases its part. It has no clock and no network.
"""

import random

import attrs

# A node that owns tenants probes a random node in this time. With two fifths cut off,
# it notices within about a second.
PROBE_MS = 250.0
# A probe is sent again after this time, up to this number of sendings. A busy process
# may answer late.
RESEND_MS = 100.0
SENDINGS = 4
# All nodes are probed after the first one that does not answer, at most this many at
# once and not again within this time.
MAX_AT_ONCE = 200
AGAIN_MS = 2000.0
# Nodes that do not answer are probed again in this time, some at once.
RETRY_MS = 500.0
MAX_RETRIES = 8


@attrs.define
class _Probe:
    sent: int
    next_ms: float


class ReachProber:
    """Probes nodes, and knows which of them do not answer."""

    def __init__(self):
        self._probes = {}
        self._unreachable = set()
        self._lost = set()
        self._unprobed = []
        self._probed_ms = 0.0
        self._all_ms = -AGAIN_MS
        self._retried_ms = 0.0

    @property
    def unreachable(self):
        """Names of the nodes that have left all sendings of a probe unanswered."""
        return self._unreachable

    def note_heard(self, node_id, now_ms):
        """Note a message of a node; probe all silent nodes if it was one of them.

        Parameters
        ----------
        node_id : str
            Name of the node.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        self._probes.pop(node_id, None)
        if node_id in self._unreachable:
            self._unreachable.discard(node_id)
            self._unprobed = sorted(self._unreachable)

    def suspect(self, node_id, now_ms):
        """Probe a node at the next choice, because others take it for lost."""
        self._probes.setdefault(node_id, _Probe(0, now_ms))

    def choose(self, nodes, lost, is_owner, now_ms):
        """Return the nodes to send a probe to now.

        Parameters
        ----------
        nodes : list of str
            Names of all other nodes that have not been dropped or stopped.
        lost : set of str
            Names of those that other nodes report to be lost.
        is_owner : bool
            Whether this node owns tenants that make calls.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        list of str
            Names of nodes.
        """
        known = set(nodes)
        self._unreachable &= known
        if is_owner:
            for node_id in sorted(lost - self._lost):
                self.suspect(node_id, now_ms)
            self._lost = lost
        due = []
        for node_id, probe in list(self._probes.items()):
            if node_id not in known:
                del self._probes[node_id]
            elif now_ms >= probe.next_ms:
                if probe.sent < SENDINGS:
                    probe.sent += 1
                    probe.next_ms = now_ms + RESEND_MS
                    due.append(node_id)
                else:
                    del self._probes[node_id]
                    self._note_unreachable(node_id, nodes, now_ms)
        chosen = [n for n in self._unprobed[:MAX_AT_ONCE] if n in known]
        del self._unprobed[:MAX_AT_ONCE]
        if is_owner and nodes and now_ms - self._probed_ms >= PROBE_MS:
            self._probed_ms = now_ms
            chosen.append(random.choice(nodes))
        if self._unreachable and now_ms - self._retried_ms >= RETRY_MS:
            self._retried_ms = now_ms
            count = min(MAX_RETRIES, len(self._unreachable))
            chosen += random.sample(sorted(self._unreachable), count)
        for node_id in chosen:
            if node_id not in self._probes:
                self._probes[node_id] = _Probe(1, now_ms + RESEND_MS)
                due.append(node_id)
        return due

    def _note_unreachable(self, node_id, nodes, now_ms):
        is_new = node_id not in self._unreachable
        self._unreachable.add(node_id)
        if is_new and now_ms - self._all_ms >= AGAIN_MS:
            self._all_ms = now_ms
            self._unprobed = [n for n in nodes if n not in self._unreachable]
