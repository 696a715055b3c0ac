"""Compare two collections by the keys of their items."""


def compare_items(old, new):
    """Return the changes that turn one collection into another.

    Parameters
    ----------
    old, new : dict
        Items by key.

    Returns
    -------
    changed : tuple
        Items of `new` that `old` lacks or has with another value.
    removed : tuple
        Keys of `old` that `new` lacks.
    """
    changed = tuple(item for key, item in new.items() if old.get(key) != item)
    removed = tuple(key for key in old if key not in new)
    return changed, removed
