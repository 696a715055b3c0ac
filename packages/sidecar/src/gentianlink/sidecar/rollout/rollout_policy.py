"""Which targets calls may use while a version is rolled out.

The same rules hold at the node where a call arrives and at the gate beside a target.
"""

import attrs

from gentianlink.core.reason import Reason
from gentianlink.core.rollout import RolloutPhase
from gentianlink.core.target_state import TargetState
from gentianlink.node.proxy.refusal import Refusal
from gentianlink.sidecar.rollout.share_plan import COLD_PART, count_active
from gentianlink.sidecar.status import STALE_STATE_RETRY_MS

# The active targets are chosen again after this time, or with a new state.
REFRESH_MS = 100.0
# A gate beside a new target accepts calls for this time after it heard from the
# coordinator. Of a node that is cut off nobody knows whether the version fails there.
LEASE_MS = 2000.0
# A process that has started knows of the orders after this time at the latest.
INFORMED_MS = 1000.0


@attrs.define
class RolloutCall:
    """Whether a call goes to the new version, decided once for all its attempts.

    Attributes
    ----------
    is_new : bool
        Whether the next attempt goes to the new version.
    """

    is_new: bool = False

    def note_attempt(self):
        """Record an attempt; the next one goes to a target of an old version."""
        self.is_new = False


@attrs.frozen
class TargetGroups:
    """Targets of a service by their part in a roll-out.

    Attributes
    ----------
    old : tuple of PeerRecord
        Nodes beside targets of other versions that accept calls.
    ready : tuple of PeerRecord
        Nodes beside targets of the new version that may get calls, in the order in
        which these get them.
    active : frozenset of str
        Names of the targets of the new version that get calls now.
    old_ids : frozenset of str
        Names of the targets in `old`.
    replaced_ids : frozenset of str
        Names of those that the roll-out has replaced once it is done.
    """

    old: tuple
    ready: tuple
    active: frozenset
    old_ids: frozenset
    replaced_ids: frozenset


def group_targets(state, refused, records, wall_ms):
    """Return the targets of a service by their part in a roll-out.

    Parameters
    ----------
    state : RolloutState
        State of the roll-out.
    refused : set of str
        Versions that are neither old nor new: they were not found to be good.
    records : iterable of PeerRecord
        Records of the nodes that are not lost.
    wall_ms : float
        Present time in milliseconds since the epoch.

    Returns
    -------
    TargetGroups
        The targets.
    """
    old, ready, others = [], [], []
    is_late = wall_ms - state.started_ms >= COLD_PART * state.duration_ms
    for record in records:
        target = record.target
        if target is None or target.service != state.service or record.is_stopping:
            continue
        if target.state is not TargetState.READY:
            continue
        if target.version != state.version:
            (others if target.version in refused else old).append(record)
        elif target.is_reachable and (is_late or wall_ms >= target.cold_until_ms):
            ready.append(record)
    # The targets that started first show first what fails only after some time.
    ready.sort(key=lambda item: (item.target.started_ms, item.target.target_id))
    old = old or others
    count = count_active(state.share, len(old))
    if state.share >= 1.0 or state.phase in (RolloutPhase.CLOSING, RolloutPhase.DONE):
        count = len(ready)
    active = frozenset(item.target.target_id for item in ready[:count])
    targets = [item.target for item in old]
    return TargetGroups(
        tuple(old),
        tuple(ready),
        active,
        frozenset(target.target_id for target in targets),
        frozenset(
            target.target_id for target in targets if _is_replaced(state, target)
        ),
    )


class RolloutPolicy:
    """Applies the states of roll-outs to calls and to this node's gate.

    Parameters
    ----------
    board : RolloutBoard
        States of the roll-outs.
    directory : PeerDirectory
        Nodes and their targets.
    rng : random.Random
        Source of randomness for the first call that goes to a new version.
    started_ms : float
        Start of this process on the monotonic clock in milliseconds.
    """

    def __init__(self, board, directory, rng, started_ms):
        self._board = board
        self._directory = directory
        self._rng = rng
        self._started_ms = started_ms
        self._is_informed = False
        self._credits = {}
        self._groups = {}
        self._heard_ms = {}

    def note_informed(self):
        """Record that this node knows of all orders."""
        self._is_informed = True

    def note_coordinator(self, state, now_ms):
        """Record a message of the coordinator of a roll-out."""
        known = self._board.get(state.service)
        if known is not None and known.revision == state.revision:
            self._heard_ms[state.service] = now_ms

    def begin_call(self, service, now_ms):
        """Decide whether a call goes to the new version of its service.

        Parameters
        ----------
        service : str
            Service of the call.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        RolloutCall or None
            None if the service has no roll-out and the call may use all targets.
        """
        state = self._board.get(service)
        if state is None:
            is_known = self._is_informed or now_ms - self._started_ms >= INFORMED_MS
            return None if is_known else RolloutCall()
        share = state.share
        if state.phase in (RolloutPhase.CLOSING, RolloutPhase.DONE):
            share = 1.0
        elif state.phase is RolloutPhase.ROLLED_BACK:
            share = 0.0
        # Nodes that see the order at the same moment do not stay in step.
        known = self._credits.get(service)
        if known is None or known[0] != state.revision:
            known = self._credits[service] = [state.revision, self._rng.random()]
        known[1] += share
        is_new = known[1] >= 1.0
        if is_new:
            known[1] -= 1.0
        return RolloutCall(is_new)

    def filter(self, service, candidates, call, is_near_only, now_ms, wall_ms):
        """Return the candidates that a call may use.

        Parameters
        ----------
        service : str
            Service of the call.
        candidates : list of Candidate
            Targets of the service.
        call : RolloutCall or None
            Result of :meth:`begin_call`.
        is_near_only : bool
            Whether these are only targets of this node's data centre; the others are
            considered next, so no other version takes the place of missing ones.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        wall_ms : float
            Present time in milliseconds since the epoch.

        Returns
        -------
        list of Candidate
            Targets that the call may be sent to.
        """
        if call is None:
            return candidates
        state = self._board.get(service)
        if state is None:
            return self._keep_longest_known(service, candidates)
        groups = self._get_groups(state, now_ms, wall_ms)
        if state.phase is RolloutPhase.DONE:
            ended = groups.replaced_ids
            return [item for item in candidates if item.target_id not in ended]
        new = [item for item in candidates if item.target_id in groups.active]
        if state.phase is RolloutPhase.CLOSING:
            return new
        if not groups.old and state.phase is RolloutPhase.RUNNING:
            # Nothing else can answer; there is nothing to move calls from, either.
            return [item for item in candidates if item.version == state.version]
        if call.is_new and state.phase is RolloutPhase.RUNNING:
            free = [item for item in new if item.free >= 1]
            if free or is_near_only:
                return free
        return [item for item in candidates if item.target_id in groups.old_ids]

    def _keep_longest_known(self, service, candidates):
        """Return the targets of the version whose first target started first.

        A process that has just started may not know of an order yet.
        """
        first = {}
        for record in self._list_records():
            target = record.target
            if target is not None and target.service == service:
                known = first.get(target.version, target.started_ms)
                first[target.version] = min(known, target.started_ms)
        if len(first) < 2:
            return candidates
        version = min(first, key=first.get)
        return [item for item in candidates if item.version == version]

    def _list_records(self):
        return [self._directory.own, *self._directory.get_live_records()]

    def get_groups(self, state, now_ms, wall_ms):
        """Return the targets of a roll-out as they are now."""
        refused = self._board.get_refused(state.service)
        groups = group_targets(state, refused, self._list_records(), wall_ms)
        self._groups[state.service] = state, now_ms, groups
        return groups

    def _get_groups(self, state, now_ms, wall_ms):
        known = self._groups.get(state.service)
        if known is not None and known[0] is state and now_ms - known[1] < REFRESH_MS:
            return known[2]
        return self.get_groups(state, now_ms, wall_ms)

    def check_gate(self, target, now_ms, wall_ms):
        """Return whether the target beside this node may execute a call.

        Parameters
        ----------
        target : TargetInfo
            The target.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        wall_ms : float
            Present time in milliseconds since the epoch.

        Returns
        -------
        Refusal or None
            None if it may.
        """
        state = self._board.get(target.service)
        if state is None or not self._is_closed(state, target, now_ms, wall_ms):
            return None
        return Refusal(Reason.DRAINING, retry_after_ms=STALE_STATE_RETRY_MS)

    def _is_closed(self, state, target, now_ms, wall_ms):
        is_new = target.version == state.version
        if state.phase is RolloutPhase.ROLLED_BACK:
            return is_new
        if state.phase is RolloutPhase.RUNNING:
            if not is_new:
                return False
            groups = self._get_groups(state, now_ms, wall_ms)
            if not groups.old:
                return False
            heard_ms = self._heard_ms.get(state.service)
            if heard_ms is None or now_ms - heard_ms > LEASE_MS:
                return True
            return target.target_id not in groups.active
        if state.phase is RolloutPhase.DONE:
            return _is_replaced(state, target)
        return not is_new


def _is_replaced(state, target):
    """Return whether a target is one that the roll-out has replaced.

    Targets that start after the order may be of a later version without an order.
    """
    return target.version != state.version and target.started_ms < state.started_ms
