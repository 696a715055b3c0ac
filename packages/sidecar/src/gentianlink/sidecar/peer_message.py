"""Message of the state exchange between two nodes."""

import attrs

from gentianlink.sidecar.peer_record import PeerRecord
from gentianlink.sidecar.target_load import TargetLoad


@attrs.frozen
class PeerMessage:
    """Request or reply of a state exchange.

    Attributes
    ----------
    node_id : str
        Name of the sender.
    order : tuple of int
        Incarnation and sequence of the sender's record.
    version : int
        Catalogue version in force at the sender; 0 if there is none yet.
    load : TargetLoad
        Current load of the sender's target.
    known_order : tuple of int
        Incarnation and sequence of the receiver's record as the sender last received
        it; zeros if it has none.
    record : PeerRecord or None
        The sender's record; None if the receiver should already have its latest state.
    previous : PeerRecord or None
        The receiver's record from its previous incarnation, returned to a receiver that
        has restarted.
    addresses : tuple of str
        Addresses of the other nodes, for a receiver that has just started.
    """

    node_id: str
    order: tuple[int, int]
    version: int
    load: TargetLoad
    known_order: tuple[int, int]
    record: PeerRecord | None = None
    previous: PeerRecord | None = None
    addresses: tuple[str, ...] = ()
