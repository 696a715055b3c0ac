"""Compare two collections by the keys of their items."""


def compare_items(old, new):
    """Return what turns one collection into another.

    Parameters
    ----------
    old, new : dict
        Items by key.

    Returns
    -------
    changed : tuple
        Items of `new` that are missing in `old` or differ there.
    removed : tuple
        Keys that only `old` has.
    """
    changed = tuple(item for key, item in new.items() if old.get(key) != item)
    removed = tuple(key for key in old if key not in new)
    return changed, removed
