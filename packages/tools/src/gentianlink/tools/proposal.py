"""Propose a catalogue as the next version."""

import time

import attrs

from gentianlink.core.catalogue import Catalogue
from gentianlink.core.codec import compute_digest
from gentianlink.core.errors import ChangeConflict, ChangeIdReused
from gentianlink.store.change_request import ChangeRequest
from gentianlink.tools.difference import compute_differences
from gentianlink.tools.errors import BaseMoved
from gentianlink.tools.versions import read_changes

MAX_CHANGES_SHOWN = 20


@attrs.frozen
class Proposal:
    """A catalogue that an operator proposes as the next version.

    Attributes
    ----------
    catalogue : Catalogue
        Services and entries.
    request : ChangeRequest
        Operator, reason and change id.
    base : int or None
        Version that the change was made against; None for the last one.
    """

    catalogue: Catalogue
    request: ChangeRequest
    base: int | None


async def propose(store, proposal, confirm_change):
    """Make a catalogue the next version.

    Parameters
    ----------
    store : CatalogueStore
        Accepted versions.
    proposal : Proposal
        The proposal.
    confirm_change : callable
        Called with the last version and the differences before anything is written.

    Returns
    -------
    Change or None
        The audit row, None if nothing differs.

    Raises
    ------
    BaseMoved
        If another change was accepted first.
    ChangeIdReused
        If the change id was already used for a version with other content.
    PlatformError
        If the change was not accepted, or its outcome is unknown.
    """
    accepted = await _find_accepted_change(store, proposal)
    if accepted is not None:
        return accepted
    head, row = await store.read_head()
    differences = compute_differences(
        await store.read_catalogue(head), proposal.catalogue
    )
    is_moved = proposal.base is not None and proposal.base != head.version
    if is_moved or not differences:
        # An earlier request with this change id may have taken effect meanwhile.
        accepted = await _find_accepted_change(store, proposal)
        if accepted is not None:
            return accepted
    if is_moved:
        raise await _make_base_moved(store, proposal.base)
    if not differences:
        return None
    confirm_change(head.version, differences)
    now_ms = time.time_ns() // 1_000_000
    try:
        return await store.accept(
            proposal.catalogue, (head, row), proposal.request, now_ms
        )
    except ChangeConflict as error:
        raise BaseMoved(head.version, error.changes or ()) from error


async def _find_accepted_change(store, proposal):
    change = await store.find_change(proposal.request.change_id)
    if change is not None:
        _check_same_content(change, proposal)
    return change


def _check_same_content(change, proposal):
    proposed = attrs.evolve(proposal.catalogue, version=change.version)
    if compute_digest(proposed) != change.digest:
        raise ChangeIdReused(change)


async def _make_base_moved(store, base):
    head, _ = await store.read_head()
    first = max(base, head.version - MAX_CHANGES_SHOWN) + 1
    return BaseMoved(base, await read_changes(store, first, head.version))
