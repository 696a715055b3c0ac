"""Which node owns a tenant, and which share of its limit this side may lease."""

import attrs

from gentianlink.ops.rank import compute_score

# A node looks at the records of all nodes again after this time, or when one is silent.
REFRESH_MS = 100.0
# A process that has just started does not know what an earlier one leased, and other
# nodes may still take another one for the owner.
MIN_AGE_MS = 2000.0
# If all nodes have started together, none of them was an owner meanwhile. This time is
# enough for their rows to show that.
MIN_AGE_TOGETHER_MS = 500.0
# Nodes whose processes started at most this long before one another started together.
TOGETHER_MS = 1500
# A node that the directory has dropped still counts for the share, because it may be
# alive beyond a partition. Partitions last up to an hour.
FORGET_MS = 3_600_000.0
# The share rises only after it has been higher for this time. By then the owners of the
# other side of a healed partition have described their windows.
RISE_MS = 1000.0
# Nodes of each tenant that are kept in the order of rank.
KEPT_RANKS = 6


@attrs.frozen
class _Change:
    changed_ms: float
    node_id: str
    is_joining: bool


class OwnerSelector:
    """Ranks the nodes for each tenant.

    Parameters
    ----------
    directory : PeerDirectory
        Records of the nodes.
    is_informed : callable
        Returns whether this node knows the other nodes.
    memory_ms : float
        Time in milliseconds after which leases of an earlier owner no longer count.
    now_ms : float
        Start of this process on the monotonic clock in milliseconds.
    """

    def __init__(self, directory, is_informed, memory_ms, now_ms):
        self._directory = directory
        self._is_informed = is_informed
        self._memory_ms = memory_ms
        self._started_ms = now_ms
        self._incarnations = {}
        self._dropped = {}
        self._changes = []
        self._ranks = {}
        self._share = 1.0
        self._higher_ms = None
        self._higher_share = 1.0
        self._refreshed_ms = None
        self._known = set()
        # Nodes that do not answer datagrams, whether they are known to be lost or not.
        self._unreachable = set()
        self.refresh(now_ms)

    @property
    def own_id(self):
        """Name of this node."""
        return self._directory.own.node_id

    @property
    def memory_ms(self):
        """Time in milliseconds after which leases of an earlier owner do not count."""
        return self._memory_ms

    @property
    def share(self):
        """Share of each limit that the nodes on this side may lease together."""
        return self._share

    def note_unreachable(self, node_ids):
        """Set the nodes that do not answer datagrams."""
        self._unreachable = set(node_ids)

    def refresh(self, now_ms):
        """Take changes of the directory into account."""
        is_due = self._refreshed_ms is None or now_ms - self._refreshed_ms >= REFRESH_MS
        if is_due:
            self.refresh_now(now_ms)

    def refresh_now(self, now_ms):
        """Take changes of the directory into account at once."""
        own = self._directory.own
        self._refreshed_ms = now_ms
        records = self._directory.get_records()
        known = {r.node_id for r in records if not r.is_stopping}
        live = {
            r.node_id: r.incarnation
            for r in self._directory.get_live_records()
            if not (r.is_stopping or r.node_id in self._unreachable)
        }
        if not own.is_stopping:
            live[own.node_id] = own.incarnation
        before, self._incarnations = self._incarnations, live
        for node_id in {r.node_id for r in records}:
            self._dropped.pop(node_id, None)
        for node_id in sorted(self._known - known):
            if self._directory.get(node_id) is None:
                self._dropped.setdefault(node_id, now_ms)
        self._known = known
        for node_id, dropped_ms in list(self._dropped.items()):
            if now_ms - dropped_ms >= FORGET_MS:
                del self._dropped[node_id]
        self._note_changes(before, live, now_ms)
        count = len(known) + len(self._dropped) + (not own.is_stopping)
        # What others report is no evidence here: reports of both sides of a healed
        # partition name each other's nodes until these refute them.
        gone = len(self._unreachable & known) + len(self._dropped)
        self._update_share(1 - gone / count if count else 1.0, now_ms)

    def _update_share(self, share, now_ms):
        if share <= self._share:
            self._share, self._higher_ms = share, None
        elif self._higher_ms is None:
            self._higher_ms, self._higher_share = now_ms, share
        else:
            self._higher_share = min(self._higher_share, share)
            if now_ms - self._higher_ms >= RISE_MS:
                self._share, self._higher_ms = self._higher_share, None

    def _note_changes(self, before, live, now_ms):
        oldest_ms = now_ms - self._memory_ms
        self._changes = [c for c in self._changes if c.changed_ms >= oldest_ms]
        if before == live:
            return
        for node_id in sorted(before.keys() - live.keys()):
            self._changes.append(_Change(now_ms, node_id, False))
            for tenant in [t for t, r in self._ranks.items() if node_id in r]:
                del self._ranks[tenant]
        for node_id, incarnation in live.items():
            if before.get(node_id) == incarnation:
                continue
            self._changes.append(_Change(now_ms, node_id, True))
            if node_id in before:
                # The earlier process of the node has been an owner as well.
                self._changes.append(_Change(now_ms, node_id, False))
            else:
                self._insert(node_id)

    def _insert(self, node_id):
        for tenant, ranked in self._ranks.items():
            if compute_score(tenant, node_id) > compute_score(tenant, ranked[-1]):
                ranked.append(node_id)
                ranked.sort(key=lambda m, t=tenant: compute_score(t, m), reverse=True)
                del ranked[KEPT_RANKS:]

    def is_live(self, node_id):
        """Return whether a node is neither lost nor stopping."""
        return node_id in self._incarnations

    def can_lease(self, now_ms):
        """Return whether this node may own tenants by now."""
        return now_ms >= self._get_ready_ms() and self._is_informed()

    def _get_ready_ms(self):
        """Return the time from which this node may be an owner."""
        age_ms = MIN_AGE_MS if self._list_earlier() else MIN_AGE_TOGETHER_MS
        return self._started_ms + age_ms

    def _list_earlier(self):
        latest = self._directory.own.incarnation - TOGETHER_MS
        return [name for name, start in self._incarnations.items() if start < latest]

    def list_earlier_processes(self, now_ms):
        """Return the nodes that delay this one from becoming an owner.

        Their records are of processes that started before this one. Some of these may
        have ended with it, and only their rows are left.
        """
        is_new = now_ms - self._started_ms < MIN_AGE_MS
        return self._list_earlier() if is_new else []

    def get_ranked(self, tenant):
        """Return the first live nodes for a tenant, in the order of rank."""
        ranked = self._ranks.get(tenant)
        if ranked is None:
            ranked = sorted(
                self._incarnations,
                key=lambda node_id: compute_score(tenant, node_id),
                reverse=True,
            )[:KEPT_RANKS]
            self._ranks[tenant] = ranked
        return ranked

    def get_owner(self, tenant, excluded=()):
        """Return the first node for a tenant other than the excluded ones.

        Parameters
        ----------
        tenant : str
            Name of the tenant.
        excluded : tuple of str, optional
            Nodes that do not lease yet.

        Returns
        -------
        str or None
            Name of the node; None if there is no other node.
        """
        return next((n for n in self.get_ranked(tenant) if n not in excluded), None)

    def find_previous_owner(self, tenant):
        """Return the node that owned a tenant one memory time ago.

        Parameters
        ----------
        tenant : str
            Name of the tenant.

        Returns
        -------
        str or None
            Name of the node, which may be lost; None if no known node is as old.
        """
        if not self._changes:
            return self.get_owner(tenant)
        joined = {c.node_id for c in self._changes if c.is_joining}
        left = {c.node_id for c in self._changes if not c.is_joining}
        nodes = (self._incarnations.keys() | left) - (joined - left)
        return max(nodes, key=lambda n: compute_score(tenant, n), default=None)

    def get_settled_ms(self, now_ms):
        """Return the time since when no other node has been the owner of a tenant."""
        changed_ms = max((c.changed_ms for c in self._changes), default=0.0)
        return min(now_ms, max(changed_ms, self._get_ready_ms()))

    def has_restarted(self, node_id):
        """Return whether a node has started within the memory time."""
        return self.get_joined_ms(node_id) > 0

    def get_joined_ms(self, node_id):
        """Return when a node has started within the memory time; 0 if it has not."""
        joined = [c for c in self._changes if c.node_id == node_id and c.is_joining]
        return max((change.changed_ms for change in joined), default=0.0)
