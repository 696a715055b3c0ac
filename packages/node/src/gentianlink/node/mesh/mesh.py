"""Links of a node, and dispatch of received frames to their handlers."""

import random

from gentianlink.core.errors import CatalogueError, CodecError, LinkRefused
from gentianlink.core.settings import MeshSettings
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.log import get_logger
from gentianlink.node.mesh import mesh_pb2
from gentianlink.node.mesh.control_bytes import ControlBytes
from gentianlink.node.mesh.convert import decode_node, encode_node
from gentianlink.node.mesh.frame_budget import FrameBudget
from gentianlink.node.mesh.link_close_reason import LinkCloseReason
from gentianlink.node.mesh.record_exchange import RecordExchange
from gentianlink.node.mesh.version_exchange import VersionExchange

_LOG = get_logger("mesh")

MAX_ACCEPTED_LINKS = 24


class Mesh:
    """Links to neighbours, over which versions and records are distributed.

    Parameters
    ----------
    applied : AppliedCatalogue
        Catalogue version in force.
    membership : Membership
        Nodes and targets.
    settings : MeshSettings, optional
        How versions are distributed.
    """

    def __init__(self, applied, membership, settings=None):
        self._control_bytes = ControlBytes()
        self._links = {}
        self._versions = VersionExchange(applied, settings or MeshSettings())
        self._records = RecordExchange(membership, self._links)
        self._on_link_lost = None
        self._handlers = {
            "have": self._handle_have,
            "fetch": self._handle_fetch,
            "content": self._handle_content,
            "busy": self._handle_busy,
            "records": self._records.handle_records,
            "heartbeat": self._handle_heartbeat,
            "record_digests": self._records.handle_digests,
            "record_hashes": self._records.handle_hashes,
            "record_request": self._records.handle_request,
            "refusal": self._handle_refusal,
        }

    @property
    def links(self):
        """Links by name of the neighbour."""
        return self._links

    @property
    def own_record(self):
        """Record of this node."""
        return self._records.own_record

    @property
    def control_bytes(self):
        """Bytes of messages by direction and kind."""
        return self._control_bytes

    @property
    def latest_version(self):
        """Latest version that a neighbour holds, 0 without neighbours."""
        return max((link.version for link in self._links.values()), default=0)

    def add_handler(self, kind, handler):
        """Register the handler for a kind of frame.

        Parameters
        ----------
        kind : str
            Name of the field of the ``body`` of the frame.
        handler : callable
            Called with the message and the link.
        """
        self._handlers[kind] = handler

    def set_on_link_lost(self, on_link_lost):
        """Set the callback for the name of a neighbour whose link was lost.

        A link is lost if the reason for its end is not orderly.
        """
        self._on_link_lost = on_link_lost

    def make_hello(self, is_joining=False):
        """Return the first frame of a stream.

        Parameters
        ----------
        is_joining : bool, optional
            Whether the link is only for joining.
        """
        hello = mesh_pb2.Hello(
            node=encode_node(self._records.own_record),
            version=self._versions.version,
            records_digest=self._records.digest,
            records=self._records.count,
            is_joining=is_joining,
        )
        frame = mesh_pb2.Frame(hello=hello)
        self._control_bytes.count_sent("hello", frame)
        return frame

    async def run_link(self, hello_frame, frames, link):
        """Register a link and handle its frames until the stream ends.

        Parameters
        ----------
        hello_frame : mesh_pb2.Frame
            First frame of the neighbour.
        frames : async iterator of mesh_pb2.Frame
            Further frames of the neighbour.
        link : Link
            Sending side of the stream.

        Raises
        ------
        LinkRefused
            If the neighbour is this node itself, the link is a duplicate, or this
            node has accepted too many links.
        CodecError
            If the first frame is malformed.
        """
        record = decode_node(hello_frame.hello.node)
        now_ms = get_monotonic_ms()
        self._control_bytes.count_received("hello", hello_frame)
        link.count_sent = self._control_bytes.count_sent
        self._admit(record, hello_frame.hello, link, now_ms)
        _LOG.info("link opened", peer=link.peer_id, dialled=link.is_dialled)
        self._records.open_link(record, hello_frame.hello, link, now_ms)
        self._versions.open_link(link)
        self.request_later_version()
        budget = FrameBudget(now_ms)
        try:
            async for frame in frames:
                self._handle(frame, link, budget)
                if link.is_closed:
                    break
        finally:
            link.close()
            self._unregister(link)

    def _admit(self, record, hello, link, now_ms):
        link.peer_id = record.node_id
        link.version = hello.version
        link.is_joining = hello.is_joining
        link.last_frame_ms = now_ms
        if record.node_id == self._records.own_record.node_id:
            raise LinkRefused(LinkCloseReason.SELF)
        existing = self._links.get(record.node_id)
        if existing is not None and not self._replaces(link, existing):
            raise LinkRefused(LinkCloseReason.DUPLICATE)
        if existing is None and not link.is_dialled and self._is_full():
            raise LinkRefused(LinkCloseReason.FULL)
        self._links[record.node_id] = link
        if existing is not None:
            existing.refuse(LinkCloseReason.DUPLICATE)

    def _replaces(self, link, existing):
        """Return whether a new link replaces the existing one to the same neighbour.

        If two nodes dial each other, both keep the link that was opened by the node
        whose name sorts first.
        """
        if link.is_dialled == existing.is_dialled:
            return True
        own_is_first = self._records.own_record.node_id < link.peer_id
        return link.is_dialled == own_is_first

    def _is_full(self):
        accepted = [link for link in self._links.values() if not link.is_dialled]
        return len(accepted) >= MAX_ACCEPTED_LINKS

    def _unregister(self, link):
        _LOG.info("link closed", peer=link.peer_id, why=link.close_reason.value)
        if self._links.get(link.peer_id) is not link:
            return
        del self._links[link.peer_id]
        self._records.close_link(link)
        if self._on_link_lost is not None and not link.close_reason.is_orderly:
            self._on_link_lost(link.peer_id)

    def _handle(self, frame, link, budget):
        link.last_frame_ms = get_monotonic_ms()
        if not budget.take(link.last_frame_ms):
            _LOG.warning("frame rate limit exceeded", peer=link.peer_id)
            link.refuse(LinkCloseReason.FLOOD)
            return
        kind = frame.WhichOneof("body")
        self._control_bytes.count_received(kind, frame)
        handler = self._handlers.get(kind)
        if handler is None:
            _LOG.debug("frame of unknown kind", peer=link.peer_id, kind=kind)
            return
        try:
            handler(getattr(frame, kind), link)
        except (CodecError, CatalogueError) as error:
            _LOG.warning("frame refused", peer=link.peer_id, kind=kind, why=str(error))
            if isinstance(error, CodecError) and not budget.count_malformed():
                link.refuse(LinkCloseReason.MALFORMED)

    def _handle_have(self, have, link):
        links = list(self._links.values())
        self._versions.handle_have(have.version, link, links, get_monotonic_ms())

    def _handle_fetch(self, fetch, link):
        self._versions.handle_fetch(fetch.version, link, get_monotonic_ms())

    def _handle_content(self, content, link):
        links = list(self._links.values())
        self._versions.handle_content(content, link, links, get_monotonic_ms())

    def _handle_busy(self, busy, link):
        links = list(self._links.values())
        self._versions.handle_busy(busy, link, links, get_monotonic_ms())

    def _handle_heartbeat(self, heartbeat, link):
        link.records_digest = heartbeat.records_digest
        self._handle_have(heartbeat, link)

    def _handle_refusal(self, refusal, link):
        try:
            close_reason = LinkCloseReason(refusal.reason)
        except ValueError:
            close_reason = LinkCloseReason.STREAM_ENDED
        _LOG.info(
            "link refused by neighbour", peer=link.peer_id, why=close_reason.value
        )
        link.close(close_reason)

    def request_later_version(self):
        """Request a later version if a neighbour holds one."""
        self._versions.request_later_version(
            list(self._links.values()), get_monotonic_ms()
        )

    def spread_version(self):
        """Send or announce the latest version held to the neighbours that lack it."""
        self._versions.spread(list(self._links.values()))

    def spread_records(self, nodes, targets, source):
        """Queue changed records for the neighbours that may lack them."""
        self._records.spread(nodes, targets, source, get_monotonic_ms())

    def flush_records(self):
        """Send the queued records at once."""
        self._records.flush(get_monotonic_ms())

    def compare_records(self, rng=random):
        """Start a comparison with a random neighbour whose digest differs, if any.

        Parameters
        ----------
        rng : random.Random, optional
            Source of randomness.
        """
        differing = [
            link
            for link in self._links.values()
            if link.records_digest != self._records.digest
        ]
        if differing:
            self._records.compare(rng.choice(differing))

    def send_heartbeats(self):
        """Send a heartbeat on every link."""
        heartbeat = mesh_pb2.Heartbeat(
            version=self._versions.version, records_digest=self._records.digest
        )
        frame = mesh_pb2.Frame(heartbeat=heartbeat)
        for link in list(self._links.values()):
            link.send(frame)

    def close_silent_links(self, now_ms, timeout_ms):
        """Close the links on which no frame was received within the timeout.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        timeout_ms : float
            Timeout in milliseconds.
        """
        for link in list(self._links.values()):
            if now_ms >= link.last_frame_ms + timeout_ms:
                link.close(LinkCloseReason.SILENT)

    def touch_links(self, now_ms):
        """Restart the receive timeout of all links, as after a pause of this node."""
        for link in self._links.values():
            link.last_frame_ms = now_ms

    def close(self):
        """Close all links because this node stops."""
        for link in list(self._links.values()):
            link.refuse(LinkCloseReason.STOPPING)
