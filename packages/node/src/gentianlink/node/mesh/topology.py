"""Keep links to the neighbours that this node should have, and join the mesh."""

import random

import attrs

from gentianlink.node.background import start_task
from gentianlink.node.mesh.dialer import DialPlan, run_dialer, run_temporary_link
from gentianlink.ops.choose_neighbours import LinkNumbers, NeighbourChooser

CHOICE_PERIOD_MS = 1000
FULL_PAUSE_MS = 60_000
TEMPORARY_LINK_MS = 5000
JOIN_LINKS = 2
SEED_CHECK_SHARE = 0.1


@attrs.define
class _Dialer:
    address: str
    task: object


class Topology:
    """Tasks that keep links to the chosen neighbours open.

    Parameters
    ----------
    mesh : Mesh
        Links of this node.
    membership : Membership
        Nodes to choose from.
    settings : MeshSettings
        Numbers of links and seeds.
    on_unreachable : callable
        Called with the name of a neighbour that could not be dialled.
    rng : random.Random, optional
        Source of randomness.
    """

    def __init__(self, mesh, membership, settings, on_unreachable, rng=random):
        self._mesh = mesh
        self._membership = membership
        self._seeds = settings.seeds
        self._on_unreachable = on_unreachable
        self._rng = rng
        numbers = LinkNumbers(
            settings.links_inside, settings.links_across, settings.links_regions
        )
        self._chooser = NeighbourChooser(membership.own_record, numbers)
        self._chosen = []
        self._choice_key = None
        self._chosen_ms = 0.0
        self._full = {}
        self._dialers = {}
        self._temporary = {}
        self._found = ()

    def add_candidates(self, addresses):
        """Take in addresses found on the platform, to find parts of the fleet.

        Parameters
        ----------
        addresses : iterable of str
            Addresses ``address:port``; those of known nodes are left out later.
        """
        self._found = tuple(addresses)

    def update(self, now_ms, extra_addresses=()):
        """Open links to new neighbours and give up those no longer chosen.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        extra_addresses : iterable of str, optional
            Addresses found on the platform, used with the seeds while alone.
        """
        for node in self._choose(now_ms):
            self._keep_dialer(node)
        wanted = {node.node_id for node in self._chosen}
        for node_id in self._dialers.keys() - wanted:
            self._dialers.pop(node_id).task.cancel()
        self._end_temporary(now_ms)
        if not self._mesh.links:
            self._join(now_ms, extra_addresses)
        else:
            self._reconnect(now_ms)

    def _choose(self, now_ms):
        for node_id in [item for item, until in self._full.items() if now_ms >= until]:
            del self._full[node_id]
        key = (self._membership.view_changes, len(self._full))
        is_due = now_ms >= self._chosen_ms + CHOICE_PERIOD_MS
        if key != self._choice_key and (is_due or not self._chosen):
            nodes = self._membership.get_live_nodes()
            usable = [node for node in nodes if node.node_id not in self._full]
            self._chosen = self._chooser.choose(usable)
            self._choice_key = key
            self._chosen_ms = now_ms
        known = self._membership.nodes
        self._chosen = [known.get(node.node_id, node) for node in self._chosen]
        return self._chosen

    def _keep_dialer(self, node):
        address = _get_address(node)
        known = self._dialers.get(node.node_id)
        if known is not None and known.address == address:
            return
        if known is not None:
            known.task.cancel()
        plan = DialPlan(address, node.node_id, self._on_unreachable, self._note_full)
        task = start_task(run_dialer(self._mesh, plan), f"dialer {node.node_id}")
        self._dialers[node.node_id] = _Dialer(address, task)

    def _note_full(self, node_id, now_ms):
        self._full[node_id] = now_ms + FULL_PAUSE_MS

    def _end_temporary(self, now_ms):
        linked = [node for node in self._chosen if node.node_id in self._mesh.links]
        has_joined = len(linked) >= max(1, min(JOIN_LINKS, len(self._chosen)))
        for address, (task, until_ms, is_join) in list(self._temporary.items()):
            if task.done():
                del self._temporary[address]
            elif now_ms >= until_ms or (is_join and has_joined):
                del self._temporary[address]
                task.cancel()

    def _join(self, now_ms, extra_addresses):
        own = self._membership.own_record
        candidates = {*self._seeds, *extra_addresses}
        candidates.update(
            _get_address(node) for node in self._membership.get_dead_nodes()
        )
        candidates.discard(_get_address(own))
        unused = sorted(candidates - self._temporary.keys())
        free = max(0, JOIN_LINKS - len(self._temporary))
        for address in self._rng.sample(unused, min(free, len(unused))):
            self._open_temporary(address, now_ms, is_join=True)

    def _reconnect(self, now_ms):
        own = self._membership.own_record
        live = self._membership.get_live_nodes()
        beside = sum(node.data_centre == own.data_centre for node in live)
        if self._temporary:
            return
        known = {_get_address(node) for node in live}
        found = [address for address in self._found if address not in known]
        self._found = ()
        if found:
            self._open_temporary(self._rng.choice(found), now_ms, is_join=False)
            return
        if self._rng.random() * max(1, beside) >= 1:
            return
        addresses = [_get_address(node) for node in self._membership.get_dead_nodes()]
        if not addresses or self._rng.random() < SEED_CHECK_SHARE:
            addresses = [seed for seed in self._seeds if seed not in known]
        if addresses:
            self._open_temporary(self._rng.choice(addresses), now_ms, is_join=False)

    def _open_temporary(self, address, now_ms, is_join):
        work = run_temporary_link(self._mesh, DialPlan(address))
        task = start_task(work, f"temporary link {address}")
        self._temporary[address] = (task, now_ms + TEMPORARY_LINK_MS, is_join)

    def close(self):
        """Give up all links that this node opened."""
        for dialer in self._dialers.values():
            dialer.task.cancel()
        for task, _, _ in self._temporary.values():
            task.cancel()
        self._dialers.clear()
        self._temporary.clear()


def _get_address(node):
    return f"{node.address}:{node.mesh_port}"
