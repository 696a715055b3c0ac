"""Reports on crashes of targets."""

import attrs


@attrs.frozen
class CrashReport:
    """A crash of a target, written by the node beside it.

    Attributes
    ----------
    target_id : str
        Name of the target.
    started_ms : int
        Start of the process that crashed, in milliseconds since the epoch.
    fingerprints : tuple of str
        Fingerprints of the calls in flight that are not known to be harmless.
    """

    target_id: str
    started_ms: int
    fingerprints: tuple[str, ...]

    @property
    def crash_id(self):
        """Name and start of the process that crashed."""
        return self.target_id, self.started_ms
