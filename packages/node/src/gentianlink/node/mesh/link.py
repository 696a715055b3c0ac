"""One link to a neighbour: a bounded queue of frames to send."""

import asyncio

MAX_QUEUED_FRAMES = 1024


class Link:
    """Sending side of a stream to a neighbour, and what is known of the neighbour.

    Parameters
    ----------
    peer_id : str
        Name of the neighbour.
    """

    def __init__(self, peer_id):
        self.peer_id = peer_id
        self.version = 0
        self.offered_version = 0
        self.count_sent = None
        self.heard_ms = 0.0
        self._frames = asyncio.Queue(MAX_QUEUED_FRAMES)
        self._is_closed = False

    @property
    def is_closed(self):
        """Whether the link was given up."""
        return self._is_closed

    def send(self, frame):
        """Queue a frame; a neighbour that does not keep up loses the link.

        Parameters
        ----------
        frame : mesh_pb2.Frame
            The frame.
        """
        try:
            self._frames.put_nowait(frame)
        except asyncio.QueueFull:
            self.close()
            return
        if self.count_sent is not None:
            self.count_sent(frame.WhichOneof("body"), frame)

    def close(self):
        """Give up the link; frames that still wait are dropped."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._frames.full():
            self._frames.get_nowait()
        self._frames.put_nowait(None)

    async def read_frames(self):
        """Yield the queued frames, as the stream sends them, until closed."""
        while True:
            frame = await self._frames.get()
            if self._is_closed or frame is None:
                return
            yield frame
