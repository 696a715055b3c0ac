"""Conversion between protobuf messages of the mesh and records."""

from gentianlink.core.errors import CodecError
from gentianlink.core.node_record import NodeRecord
from gentianlink.core.node_state import NodeState
from gentianlink.core.target_record import TargetRecord
from gentianlink.core.target_state import TargetState
from gentianlink.node.mesh import mesh_pb2

MAX_PORT = 65535
MAX_RECORDS = 1024
MAX_NAME_CHARACTERS = 128
MAX_NUMBER = 2**53


def encode_node(record):
    """Return a node record as a message."""
    return mesh_pb2.NodeRecord(
        node_id=record.node_id,
        incarnation=record.incarnation,
        sequence=record.sequence,
        region=record.region,
        data_centre=record.data_centre,
        address=record.address,
        call_port=record.call_port,
        mesh_port=record.mesh_port,
        admin_port=record.admin_port,
        state=record.state.value,
    )


def decode_node(message):
    """Return the node record in a message.

    Raises
    ------
    CodecError
        If a name is empty or too long, a number or port is out of range, or the
        state is unknown.
    """
    ports = (message.call_port, message.mesh_port, message.admin_port)
    if not all(0 < port <= MAX_PORT for port in ports):
        raise CodecError("node record with a port out of range")
    names = (message.node_id, message.region, message.data_centre, message.address)
    _validate_names(names)
    _validate_numbers(message)
    try:
        state = NodeState(message.state)
    except ValueError as error:
        raise CodecError("unknown node state") from error
    return NodeRecord(
        node_id=message.node_id,
        incarnation=message.incarnation,
        sequence=message.sequence,
        region=message.region,
        data_centre=message.data_centre,
        address=message.address,
        call_port=message.call_port,
        mesh_port=message.mesh_port,
        admin_port=message.admin_port,
        state=state,
    )


def encode_target(record):
    """Return a target record as a message."""
    return mesh_pb2.TargetRecord(
        service=record.service,
        target_id=record.target_id,
        node_id=record.node_id,
        incarnation=record.incarnation,
        sequence=record.sequence,
        state=record.state.value,
        slots=record.slots,
    )


def decode_target(message):
    """Return the target record in a message.

    Raises
    ------
    CodecError
        If a name is empty or too long, a number is out of range, or the state is
        unknown.
    """
    _validate_names((message.service, message.target_id, message.node_id))
    _validate_numbers(message)
    try:
        state = TargetState(message.state)
    except ValueError as error:
        raise CodecError("unknown target state") from error
    return TargetRecord(
        service=message.service,
        target_id=message.target_id,
        node_id=message.node_id,
        incarnation=message.incarnation,
        sequence=message.sequence,
        state=state,
        slots=message.slots,
    )


def _validate_names(names):
    if not all(0 < len(name) <= MAX_NAME_CHARACTERS for name in names):
        raise CodecError("record with an empty or too long name")


def _validate_numbers(message):
    if max(message.incarnation, message.sequence) >= MAX_NUMBER:
        raise CodecError("record with an incarnation or sequence out of range")


def decode_records(message):
    """Return the records in a message.

    Returns
    -------
    nodes : list of NodeRecord
        Records of nodes.
    targets : list of TargetRecord
        Records of targets.

    Raises
    ------
    CodecError
        If there are too many records or one of them is malformed.
    """
    if len(message.nodes) + len(message.targets) > MAX_RECORDS:
        raise CodecError("too many records")
    nodes = [decode_node(record) for record in message.nodes]
    targets = [decode_target(record) for record in message.targets]
    return nodes, targets


def encode_records(nodes, targets):
    """Return a frame with records of nodes and targets."""
    records = mesh_pb2.Records(
        nodes=[encode_node(record) for record in nodes],
        targets=[encode_target(record) for record in targets],
    )
    return mesh_pb2.Frame(records=records)
