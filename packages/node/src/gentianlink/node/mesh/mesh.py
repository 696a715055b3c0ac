"""The links of a node, and to which part each frame goes."""

from gentianlink.core.errors import CatalogueError, CodecError
from gentianlink.core.settings import MeshSettings
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.log import get_logger
from gentianlink.node.mesh import mesh_pb2
from gentianlink.node.mesh.control_bytes import ControlBytes
from gentianlink.node.mesh.convert import decode_node, encode_node
from gentianlink.node.mesh.record_exchange import RecordExchange
from gentianlink.node.mesh.version_exchange import VersionExchange

_LOG = get_logger("mesh")


class Mesh:
    """Links to neighbours, over which versions and records spread.

    Parameters
    ----------
    applied : AppliedCatalogue
        Catalogue version in force.
    membership : Membership
        Nodes and targets.
    settings : MeshSettings, optional
        How versions spread.
    """

    def __init__(self, applied, membership, settings=None):
        self._versions = VersionExchange(applied, settings or MeshSettings())
        self._control_bytes = ControlBytes()
        self._records = RecordExchange(membership)
        self._links = {}
        self._handlers = {
            "have": self._handle_have,
            "fetch": self._handle_fetch,
            "content": self._handle_content,
            "busy": self._handle_busy,
            "records": self._records.handle_records,
            "heartbeat": self._handle_heartbeat,
        }

    @property
    def links(self):
        """Links by name of the neighbour."""
        return self._links

    @property
    def control_bytes(self):
        """Bytes of messages by direction and kind."""
        return self._control_bytes

    @property
    def latest_version(self):
        """Latest version that a neighbour holds, 0 without neighbours."""
        return max((link.version for link in self._links.values()), default=0)

    def make_hello(self):
        """Return the first frame of a stream."""
        node = encode_node(self._records.own_record)
        hello = mesh_pb2.Hello(node=node, version=self._versions.version)
        frame = mesh_pb2.Frame(hello=hello)
        self._control_bytes.count_sent("hello", frame)
        return frame

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
        self._control_bytes.count_received("hello", hello_frame)
        link.count_sent = self._control_bytes.count_sent
        link.peer_id = record.node_id
        link.version = hello_frame.hello.version
        self._links[link.peer_id] = link
        _LOG.info("link opened", peer=link.peer_id)
        self._records.open_link(record, link)
        self._versions.open_link(link)
        self.ask_for_version()
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
        kind = frame.WhichOneof("body")
        self._control_bytes.count_received(kind, frame)
        handler = self._handlers.get(kind)
        if handler is None:
            _LOG.warning("frame of unknown kind", peer=link.peer_id, kind=kind)
            return
        try:
            handler(getattr(frame, kind), link)
        except (CodecError, CatalogueError) as error:
            _LOG.warning("frame refused", peer=link.peer_id, kind=kind, why=str(error))

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
        self._handle_have(heartbeat, link)
        self._records.handle_digest(heartbeat.records_digest, link)

    def ask_for_version(self):
        """Ask for a later version if a neighbour holds one."""
        self._versions.ask(list(self._links.values()), get_monotonic_ms())

    def spread_version(self):
        """Send the version in force to the neighbours that lack it."""
        self._versions.spread(list(self._links.values()))

    def spread_records(self, nodes, targets, source):
        """Send news about nodes and targets to all neighbours but the source."""
        self._records.spread(list(self._links.values()), nodes, targets, source)

    def send_heartbeats(self):
        """Send a heartbeat on every link."""
        heartbeat = mesh_pb2.Heartbeat(
            version=self._versions.version, records_digest=self._records.digest
        )
        frame = mesh_pb2.Frame(heartbeat=heartbeat)
        for link in list(self._links.values()):
            link.send(frame)
