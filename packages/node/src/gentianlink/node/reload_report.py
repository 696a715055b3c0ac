"""Result of a reload of the settings."""

import attrs


@attrs.frozen
class ReloadReport:
    """Changed keys, by whether they need a restart.

    Attributes
    ----------
    applied : tuple of str
        Changed keys that are in force now, as ``section.key``.
    needs_restart : tuple of str
        Changed keys that take effect only after a restart.
    """

    applied: tuple[str, ...]
    needs_restart: tuple[str, ...]
