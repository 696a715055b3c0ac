"""Record of the version in force on a node at one time."""

import attrs


@attrs.frozen
class VersionRecord:
    """One observation of the version in force on a node.

    Attributes
    ----------
    node_id : str
        Name of the node; the same after a restart.
    observed_ms : int
        Time of the observation in milliseconds since the epoch.
    version : int
        Version in force.
    digest : str
        Digest of that version.
    """

    node_id: str
    observed_ms: int
    version: int
    digest: str
