"""The links of a node, and what is done with each frame that arrives."""

from gentianlink.core.catalogue import Catalogue
from gentianlink.core.codec import decode, encode
from gentianlink.core.delta import Delta
from gentianlink.core.errors import CatalogueError, CodecError, DeltaMismatch
from gentianlink.node.clock import get_monotonic_ms, get_now_ms
from gentianlink.node.log import get_logger
from gentianlink.node.mesh import mesh_pb2
from gentianlink.node.mesh.convert import (
    decode_node,
    decode_target,
    encode_node,
    encode_records,
)

_LOG = get_logger("mesh")


class Mesh:
    """Links to neighbours, over which versions and records spread.

    Parameters
    ----------
    applied : AppliedCatalogue
        Catalogue version in force.
    membership : Membership
        Nodes and targets.
    """

    def __init__(self, applied, membership):
        self._applied = applied
        self._membership = membership
        self._links = {}
        self._frames_received = 0

    @property
    def links(self):
        """Links by name of the neighbour."""
        return self._links

    def make_hello(self):
        """Return the first frame of a stream."""
        node = encode_node(self._membership.own_record)
        hello = mesh_pb2.Hello(node=node, version=self._applied.version)
        return mesh_pb2.Frame(hello=hello)

    async def run_link(self, hello_frame, frames, link):
        """Handle the frames of one stream until it ends.

        Parameters
        ----------
        hello_frame : mesh_pb2.Frame
            First frame of the neighbour.
        frames : async iterator of mesh_pb2.Frame
            Further frames of the neighbour.
        link : Link
            Sending side of the stream.
        """
        record = decode_node(hello_frame.hello.node)
        link.peer_id = record.node_id
        link.version = hello_frame.hello.version
        self._links[link.peer_id] = link
        _LOG.info("link opened", peer=link.peer_id)
        self._membership.merge([record], [], link.peer_id)
        self._send_all_records(link)
        self._offer_version(link)
        try:
            async for frame in frames:
                self._handle(frame, link)
        finally:
            link.close()
            if self._links.get(link.peer_id) is link:
                del self._links[link.peer_id]
            _LOG.info("link closed", peer=link.peer_id)

    def _handle(self, frame, link):
        link.heard_ms = get_monotonic_ms()
        self._frames_received += 1
        kind = frame.WhichOneof("body")
        try:
            if kind == "records":
                self._handle_records(frame.records, link)
            elif kind == "have":
                self._handle_have(frame.have.version, link)
            elif kind == "heartbeat":
                self._handle_heartbeat(frame.heartbeat, link)
            elif kind == "fetch":
                self._handle_fetch(frame.fetch.version, link)
            elif kind == "content":
                self._handle_content(frame.content, link)
        except (CodecError, CatalogueError) as error:
            _LOG.warning("frame refused", peer=link.peer_id, kind=kind, why=str(error))

    def _handle_records(self, records, link):
        nodes = [decode_node(message) for message in records.nodes]
        targets = [decode_target(message) for message in records.targets]
        self._membership.merge(nodes, targets, link.peer_id)

    def _handle_heartbeat(self, heartbeat, link):
        self._handle_have(heartbeat.version, link)
        if heartbeat.records_digest != self._membership.digest:
            self._send_all_records(link)

    def _send_all_records(self, link):
        nodes = self._membership.nodes.values()
        link.send(encode_records(nodes, self._membership.targets.values()))

    def _handle_have(self, version, link):
        link.version = max(link.version, version)
        if version > self._applied.version:
            fetch = mesh_pb2.Fetch(version=self._applied.version)
            link.send(mesh_pb2.Frame(fetch=fetch))

    def _handle_fetch(self, version, link):
        if self._applied.version > version:
            link.send(self._make_content(version))

    def _handle_content(self, content, link):
        now_ms = get_now_ms()
        link.version = max(link.version, content.version)
        try:
            if content.delta:
                self._applied.apply_delta(decode(content.delta, Delta), now_ms)
            else:
                catalogue = decode(content.snapshot, Catalogue)
                self._applied.apply_snapshot(catalogue, content.digest, now_ms)
        except DeltaMismatch:
            link.send(mesh_pb2.Frame(fetch=mesh_pb2.Fetch(version=0)))

    def _make_content(self, known_version):
        applied = self._applied
        content = mesh_pb2.Content(version=applied.version, digest=applied.digest)
        if applied.delta is not None and applied.delta.from_version == known_version:
            content.delta = encode(applied.delta)
        else:
            content.snapshot = encode(applied.catalogue)
        return mesh_pb2.Frame(content=content)

    def _offer_version(self, link):
        if self._applied.version:
            have = mesh_pb2.Have(version=self._applied.version)
            link.send(mesh_pb2.Frame(have=have))

    def spread_version(self):
        """Send the version in force to the neighbours that lack it."""
        for link in list(self._links.values()):
            if link.version == self._applied.version - 1:
                link.send(self._make_content(link.version))
                link.version = self._applied.version
            elif link.version < self._applied.version:
                self._offer_version(link)

    def spread_records(self, nodes, targets, source):
        """Send news about nodes and targets to all neighbours but the source.

        Parameters
        ----------
        nodes : list of NodeRecord
            Records that changed.
        targets : list of TargetRecord
            Records that changed.
        source : str or None
            Neighbour that the news came from.
        """
        frame = encode_records(nodes, targets)
        for link in list(self._links.values()):
            if link.peer_id != source:
                link.send(frame)

    def send_heartbeats(self):
        """Send a heartbeat on every link."""
        heartbeat = mesh_pb2.Heartbeat(
            version=self._applied.version,
            records_digest=self._membership.digest,
        )
        frame = mesh_pb2.Frame(heartbeat=heartbeat)
        for link in list(self._links.values()):
            link.send(frame)
