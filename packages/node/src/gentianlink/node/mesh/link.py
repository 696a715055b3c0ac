"""State of a link to a neighbour, with a bounded queue of frames to send."""

import asyncio

from gentianlink.node.mesh import mesh_pb2
from gentianlink.node.mesh.link_close_reason import LinkCloseReason

MAX_QUEUED_FRAMES = 1024


class Link:
    """Send queue of a stream to a neighbour, and the last state the neighbour sent.

    Parameters
    ----------
    peer_id : str
        Name of the neighbour.
    is_dialled : bool, optional
        Whether this node opened the link.

    Attributes
    ----------
    is_joining : bool
        Whether the neighbour opened the link only to join the mesh.
    version : int
        Latest version that the neighbour holds.
    offered_version : int
        Latest version that this node announced or sent to the neighbour.
    count_sent : callable or None
        Called with the kind and the frame for each frame queued.
    last_frame_ms : float
        Time of the last frame received, on the monotonic clock in milliseconds.
    records_digest : int
        Digest of the live records that the neighbour holds.
    """

    def __init__(self, peer_id, is_dialled=False):
        self.peer_id = peer_id
        self.is_dialled = is_dialled
        self.is_joining = False
        self.version = 0
        self.offered_version = 0
        self.count_sent = None
        self.last_frame_ms = 0.0
        self.records_digest = 0
        self._frames = asyncio.Queue(MAX_QUEUED_FRAMES)
        self._close_reason = None
        self._closed = asyncio.Event()

    @property
    def is_closed(self):
        """Whether the link was closed."""
        return self._close_reason is not None

    @property
    def close_reason(self):
        """Reason for which the link was closed, None while it is open."""
        return self._close_reason

    def send(self, frame):
        """Queue a frame; close the link if the queue is full.

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
            self.close(LinkCloseReason.SLOW)
            return
        if self.count_sent is not None:
            self.count_sent(frame.WhichOneof("body"), frame)

    def refuse(self, close_reason):
        """Send the neighbour a refusal with the reason, then close the link.

        Parameters
        ----------
        close_reason : LinkCloseReason
            The reason.
        """
        if self._frames.full():
            self._frames.get_nowait()
        self.send(mesh_pb2.Frame(refusal=mesh_pb2.Refusal(reason=close_reason.value)))
        self.close(close_reason)

    def close(self, close_reason=LinkCloseReason.STREAM_ENDED):
        """Close the link.

        Queued frames are still sent after an orderly end and dropped after any other.

        Parameters
        ----------
        close_reason : LinkCloseReason, optional
            The reason.
        """
        if self.is_closed:
            return
        self._close_reason = close_reason
        self._closed.set()
        if not close_reason.is_orderly:
            self._drop_queued()
        if self._frames.full():
            self._frames.get_nowait()
        self._frames.put_nowait(None)

    async def wait_closed(self):
        """Wait until the link is closed."""
        await self._closed.wait()

    def _drop_queued(self):
        while not self._frames.empty():
            self._frames.get_nowait()

    async def read_frames(self):
        """Yield the queued frames in order until the link is closed."""
        while True:
            frame = await self._frames.get()
            if frame is None:
                return
            yield frame
