"""Record that a node publishes about itself and its target."""

import attrs

from gentianlink.core.errors import CodecError
from gentianlink.core.field_checks import is_from_future
from gentianlink.sidecar.crash_report import CrashReport
from gentianlink.sidecar.target_info import TargetInfo


@attrs.frozen
class PeerRecord:
    """State of a node and of the target beside it, written only by that node.

    Attributes
    ----------
    node_id : str
        Name of the node.
    incarnation : int
        Start of the process in milliseconds since the epoch.
    sequence : int
        Number of the change within the incarnation.
    data_centre : str
        Data centre of the node.
    peer_address : str
        IP address and TCP port for the state exchange.
    forward_address : str
        IP address and TCP port for calls forwarded to its target.
    link_mbps : float
        Bandwidth of its link in megabits per second.
    is_stopping : bool
        Whether the process is shutting down and should get no new calls.
    target : TargetInfo or None
        State of the target beside the node; None while nothing is known of it.
    crashes : tuple of CrashReport
        Latest crashes of targets beside the node, oldest first.
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
    crashes: tuple[CrashReport, ...] = ()

    @property
    def order(self):
        """Incarnation and sequence; the record with the higher pair is newer."""
        return self.incarnation, self.sequence


def check_starts(record, wall_ms):
    """Check the starts in a record, by which later states are told from earlier ones.

    Parameters
    ----------
    record : PeerRecord
        The record.
    wall_ms : int
        Present time in milliseconds since the epoch.

    Raises
    ------
    CodecError
        If the node or its target starts in the future: no true record could replace it.
    """
    starts = [record.incarnation]
    if record.target is not None:
        starts.append(record.target.started_ms)
    for started_ms in starts:
        if is_from_future(started_ms, wall_ms):
            raise CodecError(f"start at {started_ms}, in the future")
