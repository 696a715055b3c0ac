"""One link to a neighbour: a bounded queue of frames to send."""

import asyncio

from gentianlink.node.mesh import mesh_pb2
from gentianlink.node.mesh.link_end import LinkEnd

MAX_QUEUED_FRAMES = 1024


class Link:
    """Sending side of a stream to a neighbour, and what is known of the neighbour.

    Parameters
    ----------
    peer_id : str
        Name of the neighbour.
    is_dialled : bool, optional
        Whether this node opened the link.
    """

    def __init__(self, peer_id, is_dialled=False):
        self.peer_id = peer_id
        self.is_dialled = is_dialled
        self.is_joining = False
        self.version = 0
        self.offered_version = 0
        self.count_sent = None
        self.heard_ms = 0.0
        self.records_digest = 0
        self._frames = asyncio.Queue(MAX_QUEUED_FRAMES)
        self._end = None
        self._closed = asyncio.Event()

    @property
    def is_closed(self):
        """Whether the link was given up."""
        return self._end is not None

    @property
    def end(self):
        """Why the link was given up, None while it is open."""
        return self._end

    def send(self, frame):
        """Queue a frame; a neighbour that does not keep up loses the link.

        Parameters
        ----------
        frame : mesh_pb2.Frame
            The frame.
        """
        if self.is_closed:
            return
        try:
            self._frames.put_nowait(frame)
        except asyncio.QueueFull:
            self.close(LinkEnd.SLOW)
            return
        if self.count_sent is not None:
            self.count_sent(frame.WhichOneof("body"), frame)

    def refuse(self, end):
        """Tell the neighbour why the link ends, then give it up.

        Parameters
        ----------
        end : LinkEnd
            Why.
        """
        if self._frames.full():
            self._frames.get_nowait()
        self.send(mesh_pb2.Frame(refusal=mesh_pb2.Refusal(reason=end.value)))
        self.close(end)

    def close(self, end=LinkEnd.STREAM_ENDED):
        """Give up the link; the frames that wait are still sent if that is orderly.

        Parameters
        ----------
        end : LinkEnd, optional
            Why.
        """
        if self.is_closed:
            return
        self._end = end
        self._closed.set()
        if not end.is_orderly:
            self._drop_queued()
        if self._frames.full():
            self._frames.get_nowait()
        self._frames.put_nowait(None)

    async def wait_closed(self):
        """Wait until the link is given up."""
        await self._closed.wait()

    def _drop_queued(self):
        while not self._frames.empty():
            self._frames.get_nowait()

    async def read_frames(self):
        """Yield the queued frames, as the stream sends them, until closed."""
        while True:
            frame = await self._frames.get()
            if frame is None:
                return
            yield frame
