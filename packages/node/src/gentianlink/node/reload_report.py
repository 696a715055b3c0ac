"""What became of settings that were read again."""

import attrs


@attrs.frozen
class ReloadReport:
    """Changed settings by what they need.

    Attributes
    ----------
    applied : tuple of str
        Changed keys that are in force now, as ``section.key``.
    needs_restart : tuple of str
        Changed keys that wait for a restart.
    """

    applied: tuple[str, ...]
    needs_restart: tuple[str, ...]
