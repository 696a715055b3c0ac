"""Gossip and anti-entropy of the records of nodes and targets.

Gossip: a changed record is sent to every neighbour that may lack it. A change after a
quiet period is sent after ``GOSSIP_DELAY_MS``. Frequent changes are batched and sent
once per ``GOSSIP_INTERVAL_MS``, or as soon as ``GOSSIP_BATCH_RECORDS`` are queued.

Anti-entropy finds the records that gossip lost: two neighbours compare a digest for
each bucket of names, then the hashes in the buckets that differ, and send only the
records that one of them lacks.
"""

import asyncio

from gentianlink.core.errors import CodecError
from gentianlink.core.node_record import NodeRecord
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.mesh import mesh_pb2
from gentianlink.node.mesh.convert import decode_records, encode_records
from gentianlink.node.mesh.pending_records import PendingRecords
from gentianlink.ops.membership import BUCKETS

GOSSIP_DELAY_MS = 30
GOSSIP_INTERVAL_MS = 500
GOSSIP_BATCH_RECORDS = 100
MAX_FRAME_RECORDS = 200
COMPARISON_MIN_INTERVAL_MS = 1000
JOIN_TIMEOUT_MS = 5000
JOIN_MIN_MISSING_RECORDS = 200


class RecordExchange:
    """Sends and handles the frames with records of nodes and targets.

    Parameters
    ----------
    membership : Membership
        Nodes and targets.
    links : dict of str to Link
        Links by name of the neighbour.
    call_later : callable, optional
        Called with a delay in seconds and a callable; by default ``call_later`` of
        the event loop.
    """

    def __init__(self, membership, links, call_later=None):
        self._membership = membership
        self._links = links
        self._call_later = call_later
        self._pending = PendingRecords(GOSSIP_BATCH_RECORDS)
        self._is_flush_scheduled = False
        self._flushed_ms = 0.0
        self._compared_ms = {}
        self._join_peer_id = None
        self._join_until_ms = 0.0

    @property
    def own_record(self):
        """Record of this node."""
        return self._membership.own_record

    @property
    def digest(self):
        """Digest of all live records held."""
        return self._membership.digest

    @property
    def count(self):
        """Number of live records held."""
        return self._membership.buckets.count

    def open_link(self, record, hello, link, now_ms):
        """Merge the record of a new neighbour and compare records if digests differ.

        The side that holds fewer records starts the comparison. A node that lacks at
        least ``JOIN_MIN_MISSING_RECORDS`` is joining: it compares with one neighbour
        at a time, and does not forward the records that this neighbour sends.

        Parameters
        ----------
        record : NodeRecord
            Record of the neighbour.
        hello : mesh_pb2.Hello
            First frame of the neighbour.
        link : Link
            Link to the neighbour.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        link.records_digest = hello.records_digest
        own_side = (self.count, self.own_record.node_id)
        peer_side = (hello.records, record.node_id)
        is_joining = self.count + JOIN_MIN_MISSING_RECORDS <= hello.records
        later = self._membership.merge([record], [], now_ms, link.peer_id)
        self._send_records(later, link)
        if hello.records_digest == self.digest or own_side > peer_side:
            return
        if is_joining and now_ms < self._join_until_ms:
            return
        if is_joining:
            self._join_peer_id = link.peer_id
            self._join_until_ms = now_ms + JOIN_TIMEOUT_MS
        self._send_digests(link)

    def compare(self, link):
        """Start a comparison with a neighbour if its digest differs.

        Parameters
        ----------
        link : Link
            Link to the neighbour.
        """
        if link.records_digest != self.digest:
            self._send_digests(link)

    def handle_records(self, records, link):
        """Merge the records of a neighbour; send back later ones that are held here."""
        now_ms = get_monotonic_ms()
        nodes, targets = decode_records(records)
        for record in (*nodes, *targets):
            self._pending.mark_held(record, link.peer_id)
        later = self._membership.merge(nodes, targets, now_ms, link.peer_id)
        self._send_records(later, link)

    def handle_digests(self, message, link):
        """Answer the bucket digests with the hashes of the buckets that differ."""
        if len(message.digests) != BUCKETS:
            raise CodecError("wrong number of bucket digests")
        now_ms = get_monotonic_ms()
        if (
            now_ms
            < self._compared_ms.get(link.peer_id, 0.0) + COMPARISON_MIN_INTERVAL_MS
        ):
            return
        self._compared_ms[link.peer_id] = now_ms
        buckets = self._membership.buckets
        differing = [
            mesh_pb2.Bucket(number=number, hashes=buckets.get_records(number))
            for number, digest in enumerate(buckets.digests)
            if digest != message.digests[number]
        ]
        if differing:
            hashes = mesh_pb2.RecordHashes(buckets=differing)
            link.send(mesh_pb2.Frame(record_hashes=hashes))

    def handle_hashes(self, message, link):
        """Send the records that the neighbour lacks and ask for the others."""
        requested_buckets = []
        records_to_send = []
        for bucket in message.buckets:
            own = self._get_bucket(bucket)
            hashes = set(bucket.hashes)
            records_to_send.extend(own[item] for item in own.keys() - hashes)
            unknown_hashes = hashes - own.keys()
            if unknown_hashes:
                requested_buckets.append(
                    mesh_pb2.Bucket(number=bucket.number, hashes=unknown_hashes)
                )
        self._send_records(records_to_send, link)
        if requested_buckets:
            request = mesh_pb2.RecordRequest(buckets=requested_buckets)
            link.send(mesh_pb2.Frame(record_request=request))

    def handle_request(self, message, link):
        """Send the records that a neighbour requests."""
        records = []
        for bucket in message.buckets:
            own = self._get_bucket(bucket)
            records.extend(own[item] for item in set(bucket.hashes) & own.keys())
        self._send_records(records, link)

    def _get_bucket(self, bucket):
        if bucket.number >= BUCKETS:
            raise CodecError("bucket number out of range")
        return self._membership.buckets.get_records(bucket.number)

    def _send_digests(self, link):
        digests = mesh_pb2.RecordDigests(digests=self._membership.buckets.digests)
        link.send(mesh_pb2.Frame(record_digests=digests))

    def _send_records(self, records, link):
        ordered = sorted(records, key=_is_target)
        for start in range(0, len(ordered), MAX_FRAME_RECORDS):
            link.send(_make_frame(ordered[start : start + MAX_FRAME_RECORDS]))

    def spread(self, nodes, targets, source, now_ms):
        """Queue changed records for all neighbours that may lack them.

        Records from the neighbour that sends all records to a joining node are not
        forwarded.

        Parameters
        ----------
        nodes : list of NodeRecord
            Records that changed.
        targets : list of TargetRecord
            Records that changed.
        source : str or None
            Neighbour that sent the change, None if it was made by this node.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        is_joining = now_ms < self._join_until_ms
        if source is not None and is_joining and source == self._join_peer_id:
            return
        for record in (*nodes, *targets):
            self._pending.add(record, source)
        if self._pending.is_full:
            self.flush(now_ms)
        elif not self._is_flush_scheduled and not self._pending.is_empty:
            self._is_flush_scheduled = True
            due_ms = max(
                now_ms + GOSSIP_DELAY_MS, self._flushed_ms + GOSSIP_INTERVAL_MS
            )
            call_later = self._call_later or asyncio.get_running_loop().call_later
            call_later((due_ms - now_ms) / 1000, self._flush_scheduled)

    def _flush_scheduled(self):
        self._is_flush_scheduled = False
        self.flush(get_monotonic_ms())

    def flush(self, now_ms):
        """Send the queued records.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        self._flushed_ms = now_ms
        frames = {}
        for peer_id, records in self._pending.pop_for_peers(list(self._links)).items():
            key = tuple(map(id, records))
            if key not in frames:
                frames[key] = _make_frame(records)
            self._links[peer_id].send(frames[key])

    def close_link(self, link):
        """Remove the state of a link."""
        self._compared_ms.pop(link.peer_id, None)
        if link.peer_id == self._join_peer_id:
            self._join_until_ms = 0.0


def _is_target(record):
    return not isinstance(record, NodeRecord)


def _make_frame(records):
    nodes = [record for record in records if not _is_target(record)]
    targets = [record for record in records if _is_target(record)]
    return encode_records(nodes, targets)
