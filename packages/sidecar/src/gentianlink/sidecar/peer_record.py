"""What a node says of itself to other nodes."""

import attrs

from gentianlink.sidecar.target_info import TargetInfo


@attrs.frozen
class PeerRecord:
    """A node with its target, as the node itself states it.

    Attributes
    ----------
    node_id : str
        Name of the node.
    incarnation : int
        Start of the process in milliseconds since the epoch.
    sequence : int
        Number of the statement within the incarnation.
    data_centre : str
        Data centre of the node.
    peer_address : str
        Address for the exchange of state.
    forward_address : str
        Address for calls to its target.
    link_mbps : float
        Speed of its link in megabits a second.
    is_stopping : bool
        Whether the process is about to end and wants no new calls.
    target : TargetInfo or None
        The target beside it, None if it has not been heard of.
    """

    node_id: str
    incarnation: int
    sequence: int
    data_centre: str
    peer_address: str
    forward_address: str
    link_mbps: float = 0.0
    is_stopping: bool = False
    target: TargetInfo | None = None

    @property
    def order(self):
        """Incarnation and sequence, by which the newer statement is told."""
        return self.incarnation, self.sequence
