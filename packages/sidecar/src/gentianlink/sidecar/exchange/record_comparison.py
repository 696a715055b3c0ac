"""Comparison of all records of two nodes, bucket by bucket."""

import orjson

from gentianlink.core.errors import CodecError, PlatformError
from gentianlink.node.log import get_logger
from gentianlink.sidecar.endpoints_server import Reply
from gentianlink.sidecar.exchange.peer_codec import (
    decode_buckets,
    decode_records,
    encode_records,
)
from gentianlink.sidecar.exchange.peer_paths import PREFIXES, SYNCHRONISE_PATH
from gentianlink.sidecar.exchange.record_digest import get_bucket
from gentianlink.sidecar.status import STATUS_BAD_REQUEST, STATUS_OK

_LOG = get_logger("peers")


class RecordComparison:
    """Finds and exchanges the records in which two nodes differ.

    Parameters
    ----------
    directory : PeerDirectory
        Records of the nodes.
    connections : PeerConnections
        Connections to other nodes.
    update_record : callable
        Called with each record of the other node and its link.
    """

    def __init__(self, directory, connections, update_record):
        self._directory = directory
        self._connections = connections
        self._update_record = update_record

    async def compare(self, link):
        """Get the records of the buckets in which this node and another one differ."""
        link.is_synchronised = True
        link.mismatches = 0
        body = orjson.dumps(self._directory.digest.buckets)
        connections = self._connections.get(link.address)
        try:
            answer = await connections.send(
                "POST", PREFIXES[link.form] + SYNCHRONISE_PATH, body
            )
            records = decode_records(answer.body) if answer.code == STATUS_OK else []
        except (PlatformError, CodecError) as error:
            _LOG.info("records not compared", peer=link.node_id, why=str(error))
            return
        buckets = {get_bucket(record.node_id) for record in records}
        orders = {record.node_id: record.order for record in records}
        for record in records:
            self._update_record(record, link)
        for record in self._directory.get_records():
            if get_bucket(record.node_id) not in buckets:
                continue
            if orders.get(record.node_id, (0, 0)) < record.order:
                link.records[record.node_id] = record

    def answer(self, body, form):
        """Answer with the records of the buckets that differ from another node's.

        Parameters
        ----------
        body : bytes
            Digests of the other node's buckets.
        form : int
            Form of the records that the other node accepts.

        Returns
        -------
        Reply
            The records; bad request if the body can't be decoded.
        """
        try:
            others = decode_buckets(body)
        except CodecError as error:
            _LOG.warning("peer message rejected", why=str(error))
            return Reply(STATUS_BAD_REQUEST)
        pairs = zip(others, self._directory.digest.buckets, strict=True)
        differing = {number for number, (a, b) in enumerate(pairs) if a != b}
        records = [self._directory.own, *self._directory.get_records()]
        return Reply(
            body=encode_records(
                [item for item in records if get_bucket(item.node_id) in differing],
                form,
            )
        )
