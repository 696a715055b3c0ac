"""Spread records of nodes and targets over links.

News travel almost at once, several in a frame where many come in a short time, to
every neighbour that may lack them. What
got lost is found by digests: two neighbours compare a digest for each bucket of
names, then the hashes in the buckets that differ, and send only the records that
one of them lacks.
"""

import asyncio

from gentianlink.core.errors import CodecError
from gentianlink.core.node_record import NodeRecord
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.mesh import mesh_pb2
from gentianlink.node.mesh.convert import decode_records, encode_records
from gentianlink.node.mesh.record_news import RecordNews
from gentianlink.ops.membership import BUCKETS

NEWS_DELAY_MS = 30
NEWS_PERIOD_MS = 500
NEWS_RECORDS = 100
FRAME_RECORDS = 200
COMPARISON_MIN_MS = 1000
JOIN_MS = 5000
JOIN_RECORDS = 200


class RecordExchange:
    """What is done with the frames about nodes and targets.

    Parameters
    ----------
    membership : Membership
        Nodes and targets.
    links : dict of str to Link
        Links by name of the neighbour.
    call_later : callable, optional
        Takes a delay in seconds and a callable; by default that of the event loop.
    """

    def __init__(self, membership, links, call_later=None):
        self._membership = membership
        self._links = links
        self._call_later = call_later
        self._news = RecordNews(NEWS_RECORDS)
        self._is_scheduled = False
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
        """Take in a new neighbour's record and begin to compare records.

        The side that holds fewer records begins. While a node joins, one neighbour
        sends it all records, and it doesn't spread them further.

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
        is_joining = self.count + JOIN_RECORDS <= hello.records
        later = self._membership.merge([record], [], now_ms, link.peer_id)
        self._send_records(later, link)
        if hello.records_digest == self.digest or own_side > peer_side:
            return
        if is_joining and now_ms < self._join_until_ms:
            return
        if is_joining:
            self._join_peer_id = link.peer_id
            self._join_until_ms = now_ms + JOIN_MS
        self._send_digests(link)

    def compare(self, link):
        """Begin to compare records with a neighbour whose digest differs.

        Parameters
        ----------
        link : Link
            Link to the neighbour.
        """
        if link.records_digest != self.digest:
            self._send_digests(link)

    def handle_records(self, records, link):
        """Take in statements of a neighbour and correct outdated ones."""
        now_ms = get_monotonic_ms()
        nodes, targets = decode_records(records)
        for record in (*nodes, *targets):
            self._news.note_holder(record, link.peer_id)
        later = self._membership.merge(nodes, targets, now_ms, link.peer_id)
        self._send_records(later, link)

    def handle_digests(self, message, link):
        """Answer digests of buckets with the hashes in those that differ."""
        if len(message.digests) != BUCKETS:
            raise CodecError("not the digests of all buckets")
        now_ms = get_monotonic_ms()
        if now_ms < self._compared_ms.get(link.peer_id, 0.0) + COMPARISON_MIN_MS:
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
        wanted = []
        lacking = []
        for bucket in message.buckets:
            own = self._get_bucket(bucket)
            hashes = set(bucket.hashes)
            lacking.extend(own[item] for item in own.keys() - hashes)
            unknown = hashes - own.keys()
            if unknown:
                wanted.append(mesh_pb2.Bucket(number=bucket.number, hashes=unknown))
        self._send_records(lacking, link)
        if wanted:
            request = mesh_pb2.RecordRequest(buckets=wanted)
            link.send(mesh_pb2.Frame(record_request=request))

    def handle_request(self, message, link):
        """Send the records that a neighbour asks for."""
        records = []
        for bucket in message.buckets:
            own = self._get_bucket(bucket)
            records.extend(own[item] for item in set(bucket.hashes) & own.keys())
        self._send_records(records, link)

    def _get_bucket(self, bucket):
        if bucket.number >= BUCKETS:
            raise CodecError("not the number of a bucket")
        return self._membership.buckets.get_records(bucket.number)

    def _send_digests(self, link):
        digests = mesh_pb2.RecordDigests(digests=self._membership.buckets.digests)
        link.send(mesh_pb2.Frame(record_digests=digests))

    def _send_records(self, records, link):
        ordered = sorted(records, key=_is_target)
        for start in range(0, len(ordered), FRAME_RECORDS):
            link.send(_make_frame(ordered[start : start + FRAME_RECORDS]))

    def spread(self, nodes, targets, source, now_ms):
        """Send news about nodes and targets to all neighbours that may lack them.

        Parameters
        ----------
        nodes : list of NodeRecord
            Records that changed.
        targets : list of TargetRecord
            Records that changed.
        source : str or None
            Neighbour that the news came from.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        is_joining = now_ms < self._join_until_ms
        if source is not None and is_joining and source == self._join_peer_id:
            return
        for record in (*nodes, *targets):
            self._news.add(record, source)
        if self._news.is_full:
            self.flush(now_ms)
        elif not self._is_scheduled and not self._news.is_empty:
            self._is_scheduled = True
            due_ms = max(now_ms + NEWS_DELAY_MS, self._flushed_ms + NEWS_PERIOD_MS)
            call_later = self._call_later or asyncio.get_running_loop().call_later
            call_later((due_ms - now_ms) / 1000, self._flush_scheduled)

    def _flush_scheduled(self):
        self._is_scheduled = False
        self.flush(get_monotonic_ms())

    def flush(self, now_ms):
        """Send the news that wait.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        self._flushed_ms = now_ms
        frames = {}
        for peer_id, records in self._news.take(list(self._links)).items():
            key = tuple(map(id, records))
            if key not in frames:
                frames[key] = _make_frame(records)
            self._links[peer_id].send(frames[key])

    def close_link(self, link):
        """Forget what was noted about a link."""
        self._compared_ms.pop(link.peer_id, None)
        if link.peer_id == self._join_peer_id:
            self._join_until_ms = 0.0


def _is_target(record):
    return not isinstance(record, NodeRecord)


def _make_frame(records):
    nodes = [record for record in records if not _is_target(record)]
    targets = [record for record in records if _is_target(record)]
    return encode_records(nodes, targets)
