"""Compute and apply differences between catalogue versions."""

from gentianlink.core.catalogue import Catalogue
from gentianlink.core.codec import compute_digest
from gentianlink.core.delta import Delta
from gentianlink.core.errors import DeltaMismatch, DigestMismatch
from gentianlink.ops.compare_items import compare_items


def compute_delta(old, new):
    """Return the delta that turns one version into another.

    Parameters
    ----------
    old : Catalogue
        Version to start from.
    new : Catalogue
        Version that the delta results in.

    Returns
    -------
    Delta
        Services and entries added, changed and removed.
    """
    services, removed_services = _compare(old.services, new.services)
    entries, removed_entries = _compare(old.entries, new.entries)
    return Delta(
        from_version=old.version,
        from_digest=compute_digest(old),
        to_version=new.version,
        to_digest=compute_digest(new),
        services=services,
        entries=entries,
        removed_services=removed_services,
        removed_entries=removed_entries,
    )


def _compare(old_items, new_items):
    return compare_items(
        {item.name: item for item in old_items}, {item.name: item for item in new_items}
    )


def apply_delta(catalogue, digest, delta):
    """Apply a delta to a version and return the result.

    Parameters
    ----------
    catalogue : Catalogue
        Version to apply the delta to.
    digest : str
        Digest of `catalogue`.
    delta : Delta
        The delta.

    Returns
    -------
    Catalogue
        The resulting version; its digest has been verified.

    Raises
    ------
    DeltaMismatch
        If the delta was computed from another version.
    DigestMismatch
        If the digest of the result differs from that in the delta.
    """
    if delta.from_version != catalogue.version or delta.from_digest != digest:
        raise DeltaMismatch(f"delta starts from version {delta.from_version}")
    result = Catalogue(
        version=delta.to_version,
        services=_replace(catalogue.services, delta.services, delta.removed_services),
        entries=_replace(catalogue.entries, delta.entries, delta.removed_entries),
    )
    if compute_digest(result) != delta.to_digest:
        raise DigestMismatch(f"delta to version {delta.to_version}")
    return result


def _replace(items, changed, removed):
    by_name = {item.name: item for item in items}
    for name in removed:
        by_name.pop(name, None)
    for item in changed:
        by_name[item.name] = item
    return tuple(by_name[name] for name in sorted(by_name))


def format_delta(old, new):
    """Return the difference between two versions as text, as in the audit trail.

    Parameters
    ----------
    old : Catalogue
        Version before.
    new : Catalogue
        Version after.

    Returns
    -------
    tuple of str
        One line for each service or entry added, changed or removed.
    """
    lines = []
    kinds = (
        ("service", old.services, new.services),
        ("entry", old.entries, new.entries),
    )
    for kind, old_items, new_items in kinds:
        old_by_name = {item.name: item for item in old_items}
        new_by_name = {item.name: item for item in new_items}
        for name in sorted(old_by_name.keys() | new_by_name.keys()):
            if name not in old_by_name:
                lines.append(f"+ {kind} {name}")
            elif name not in new_by_name:
                lines.append(f"- {kind} {name}")
            elif old_by_name[name] != new_by_name[name]:
                lines.append(f"~ {kind} {name}")
    return tuple(lines)
