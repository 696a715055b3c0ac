"""The record that a node publishes about itself."""

from gentianlink.core.node_record import NodeRecord


def make_own_record(settings, now_ms):
    """Return the record of this node.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    now_ms : int
        Present time in milliseconds since the epoch, used as incarnation.

    Returns
    -------
    NodeRecord
        The record.
    """
    return NodeRecord(
        node_id=settings.node.id,
        incarnation=now_ms,
        sequence=1,
        region=settings.node.region,
        data_centre=settings.node.data_centre,
        address=settings.listen.address,
        call_port=settings.listen.call_port,
        mesh_port=settings.listen.mesh_port,
        admin_port=settings.listen.admin_port,
    )
