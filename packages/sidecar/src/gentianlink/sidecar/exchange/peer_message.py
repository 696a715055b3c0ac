"""Messages of the state exchange between two nodes."""

import attrs

from gentianlink.core.rollout import RolloutState
from gentianlink.sidecar.peer_record import PeerRecord
from gentianlink.sidecar.target_load import TargetLoad


@attrs.frozen
class LostNode:
    """Report that a node does not answer.

    Attributes
    ----------
    node_id : str
        Name of the node.
    order : tuple of int
        Incarnation and sequence of its latest record at the node that reports it; a
        newer record refutes the report.
    """

    node_id: str
    order: tuple[int, int]


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
        Addresses of other nodes. Only earlier releases send and need them.
    digest : int
        Digest of all records that the sender holds.
    records : tuple of PeerRecord
        Records of other nodes that have changed.
    lost : tuple of LostNode
        Nodes that have been lost since the last message.
    missing_version : int
        Version that the sender has been missing for a while; 0 if there is none.
    holder_id : str
        Name of a node that has the missing version.
    rollouts : tuple of RolloutState
        Roll-outs of which the sender knows.
    """

    node_id: str
    order: tuple[int, int]
    version: int
    load: TargetLoad
    known_order: tuple[int, int]
    record: PeerRecord | None = None
    previous: PeerRecord | None = None
    addresses: tuple[str, ...] = ()
    digest: int = 0
    records: tuple[PeerRecord, ...] = ()
    lost: tuple[LostNode, ...] = ()
    missing_version: int = 0
    holder_id: str = ""
    rollouts: tuple[RolloutState, ...] = ()
