"""Differences between two catalogues, key by key, for operators."""

import attrs

from gentianlink.core.work_class import WorkClass


@attrs.frozen
class Difference:
    """One service or entry that differs.

    Attributes
    ----------
    kind : str
        ``service`` or ``entry``.
    name : str
        Name of the service or entry.
    change : str
        ``added``, ``changed`` or ``removed``.
    keys : dict of str to tuple
        Old and new text of each key that differs.
    """

    kind: str
    name: str
    change: str
    keys: dict[str, tuple[str, str]] = attrs.field(factory=dict)

    def format(self):
        """Return the difference as lines of readable text."""
        sign = {"added": "+", "changed": "~", "removed": "-"}[self.change]
        lines = [f"{sign} {self.kind} {self.name}"]
        for key, (old, new) in self.keys.items():
            if self.change == "changed":
                lines.append(f"    {key}: {old or 'nothing'} -> {new or 'nothing'}")
        return tuple(lines)


def compute_differences(old, new):
    """Return every service and entry that differs.

    Parameters
    ----------
    old : Catalogue
        Version before.
    new : Catalogue
        Version after.

    Returns
    -------
    list of Difference
        Services first, then entries, each by name.
    """
    return [
        *_compare("service", old.services, new.services),
        *_compare("entry", old.entries, new.entries),
    ]


def _compare(kind, old_items, new_items):
    old_by_name = {item.name: _flatten(item) for item in old_items}
    new_by_name = {item.name: _flatten(item) for item in new_items}
    for name in sorted(old_by_name.keys() | new_by_name.keys()):
        old = old_by_name.get(name)
        new = new_by_name.get(name)
        if old == new:
            continue
        change = "added" if old is None else "removed" if new is None else "changed"
        yield Difference(kind, name, change, _compare_keys(old or {}, new or {}))


def _compare_keys(old, new):
    return {
        key: (old.get(key, ""), new.get(key, ""))
        for key in (old | new)
        if old.get(key) != new.get(key)
    }


def _flatten(item):
    values = {}
    for key, value in attrs.asdict(item).items():
        if isinstance(value, dict):
            values.update({name: str(number) for name, number in value.items()})
        elif isinstance(value, WorkClass):
            values["class"] = value.value
        elif isinstance(value, tuple):
            values[key] = ", ".join(value)
        else:
            values[key] = str(value)
    return values
