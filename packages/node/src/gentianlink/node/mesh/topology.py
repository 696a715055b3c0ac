"""Links to the chosen neighbours, and temporary links to join or heal the mesh."""

import functools
import random

import attrs

from gentianlink.node.background import start_lasting_task, start_task
from gentianlink.node.mesh.dialer import DialPlan, run_dialer, run_temporary_link
from gentianlink.ops.choose_neighbours import LinkNumbers, NeighbourChooser

CHOICE_MIN_INTERVAL_MS = 1000
FULL_BACKOFF_MS = 60_000
TEMPORARY_LINK_MAX_MS = 5000
JOIN_LINKS = 2
SEED_PROBABILITY = 0.1


@attrs.define
class _Dialer:
    address: str
    task: object


class Topology:
    """Runs a dialer for each chosen neighbour, and opens temporary links.

    A node without links dials seeds, dead nodes and discovered addresses to join the
    mesh. A node with links occasionally dials one of them, so that a partition of the
    fleet heals.

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
        self._full_until_ms = {}
        self._dialers = {}
        self._temporary = {}
        self._discovered = ()

    def set_discovered_addresses(self, addresses):
        """Set the addresses discovered on the platform.

        One of them that belongs to no live node is dialled by the next update, so
        that parts of the fleet without links to each other are joined.

        Parameters
        ----------
        addresses : iterable of str
            Addresses ``address:port``; those of live nodes are ignored.
        """
        self._discovered = tuple(addresses)

    def update(self, now_ms, extra_addresses=()):
        """Dial newly chosen neighbours and close the links to those no longer chosen.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        extra_addresses : iterable of str, optional
            Addresses discovered on the platform, dialled along with the seeds while
            this node has no links.
        """
        for node in self._choose(now_ms):
            self._ensure_dialer(node)
        wanted = {node.node_id for node in self._chosen}
        for node_id in self._dialers.keys() - wanted:
            self._dialers.pop(node_id).task.cancel()
        self._end_temporary(now_ms)
        if not self._mesh.links:
            self._open_join_links(now_ms, extra_addresses)
        else:
            self._open_healing_link(now_ms)

    def _choose(self, now_ms):
        for node_id in [
            item for item, until_ms in self._full_until_ms.items() if now_ms >= until_ms
        ]:
            del self._full_until_ms[node_id]
        key = (self._membership.view_changes, len(self._full_until_ms))
        is_due = now_ms >= self._chosen_ms + CHOICE_MIN_INTERVAL_MS
        if key != self._choice_key and (is_due or not self._chosen):
            nodes = self._membership.get_live_nodes()
            usable = [node for node in nodes if node.node_id not in self._full_until_ms]
            self._chosen = self._chooser.choose(usable)
            self._choice_key = key
            self._chosen_ms = now_ms
        records = self._membership.nodes
        self._chosen = [records.get(node.node_id, node) for node in self._chosen]
        return self._chosen

    def _ensure_dialer(self, node):
        address = _get_address(node)
        existing = self._dialers.get(node.node_id)
        if existing is not None and existing.address == address:
            return
        if existing is not None:
            existing.task.cancel()
        plan = DialPlan(address, node.node_id, self._on_unreachable, self._mark_full)
        work = functools.partial(run_dialer, self._mesh, plan)
        task = start_lasting_task(work, f"dialer {node.node_id}")
        self._dialers[node.node_id] = _Dialer(address, task)

    def _mark_full(self, node_id, now_ms):
        self._full_until_ms[node_id] = now_ms + FULL_BACKOFF_MS

    def _end_temporary(self, now_ms):
        linked = [node for node in self._chosen if node.node_id in self._mesh.links]
        has_joined = len(linked) >= max(1, min(JOIN_LINKS, len(self._chosen)))
        for address, (task, until_ms, is_join) in list(self._temporary.items()):
            if task.done():
                del self._temporary[address]
            elif now_ms >= until_ms or (is_join and has_joined):
                del self._temporary[address]
                task.cancel()

    def _open_join_links(self, now_ms, extra_addresses):
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

    def _open_healing_link(self, now_ms):
        own = self._membership.own_record
        live = self._membership.get_live_nodes()
        local_nodes = sum(node.data_centre == own.data_centre for node in live)
        if self._temporary:
            return
        live_addresses = {_get_address(node) for node in live}
        unknown_addresses = [
            address for address in self._discovered if address not in live_addresses
        ]
        self._discovered = ()
        if unknown_addresses:
            self._open_temporary(
                self._rng.choice(unknown_addresses), now_ms, is_join=False
            )
            return
        # On average one node of each data centre opens a healing link per update.
        if self._rng.random() * max(1, local_nodes) >= 1:
            return
        addresses = [_get_address(node) for node in self._membership.get_dead_nodes()]
        if not addresses or self._rng.random() < SEED_PROBABILITY:
            addresses = [seed for seed in self._seeds if seed not in live_addresses]
        if addresses:
            self._open_temporary(self._rng.choice(addresses), now_ms, is_join=False)

    def _open_temporary(self, address, now_ms, is_join):
        work = run_temporary_link(self._mesh, DialPlan(address))
        task = start_task(work, f"temporary link {address}")
        self._temporary[address] = (task, now_ms + TEMPORARY_LINK_MAX_MS, is_join)

    def close(self):
        """Close all links that this node opened."""
        for dialer in self._dialers.values():
            dialer.task.cancel()
        for task, _, _ in self._temporary.values():
            task.cancel()
        self._dialers.clear()
        self._temporary.clear()


def _get_address(node):
    return f"{node.address}:{node.mesh_port}"
