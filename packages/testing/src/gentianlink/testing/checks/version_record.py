"""What was seen of the version in force on a node."""

import attrs


@attrs.frozen
class VersionRecord:
    """A version observed on a node, across all of its restarts.

    Attributes
    ----------
    node_id : str
        Name of the node.
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
