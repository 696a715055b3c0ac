"""Which requests of one connection may run at the same time, and who answers next."""

import asyncio
import collections
import enum

# Requests of one connection that run at the same time. Callers of the deployments send
# up to four; each one more may keep an answer of 256 KiB in memory.
MAX_PIPELINED = 16
# Requests that wait or run behind another one of their connection, and their answers.
MAX_CONNECTION_BYTES = 1 << 20
# The same for all connections of the server. The smallest nodes have 200 MB of memory
# in all.
MAX_TOTAL_BYTES = 8 << 20


class Hold(enum.Enum):
    """Why a request may not start yet."""

    ORDER = "order"
    REQUESTS = "requests"
    CONNECTION_BYTES = "connection_bytes"
    TOTAL_BYTES = "total_bytes"


class PipelinedRequest:
    """One request in the pipeline of its connection.

    Parameters
    ----------
    waits_for_earlier : bool
        Whether it starts only when all requests before it are answered.
    blocks_later : bool
        Whether the requests behind it start only when it is answered.
    size : int
        Bytes of the request.
    """

    __slots__ = (
        "_turn",
        "blocks_later",
        "held_bytes",
        "reader",
        "size",
        "waits_for_earlier",
    )

    def __init__(self, waits_for_earlier, blocks_later, size):
        self.waits_for_earlier = waits_for_earlier
        self.blocks_later = blocks_later
        self.size = size
        self.held_bytes = 0
        self.reader = None
        self._turn = None

    async def wait_turn(self):
        """Wait until all requests before this one are answered."""
        if self._turn is None:
            self._turn = asyncio.get_running_loop().create_future()
        await self._turn

    def give_turn(self):
        """End the wait: this is the first request that is not answered."""
        if self._turn is not None and not self._turn.done():
            self._turn.set_result(None)


class Pipeline:
    """Requests of one connection that have started and are not answered yet.

    Answers are sent in the order of the requests. Only the first request may write its
    answer.

    Parameters
    ----------
    budget : BufferBudget
        Bytes of the pipelined requests and answers of all connections.
    """

    def __init__(self, budget):
        self._budget = budget
        self._requests = collections.deque()
        self._bytes = 0
        self._is_ended = False
        self._has_refusal = False

    @property
    def requests(self):
        """Requests that have started and are not answered, in their order."""
        return tuple(self._requests)

    @property
    def is_empty(self):
        """Whether all requests that have started are answered."""
        return not self._requests

    @property
    def is_ended(self):
        """Whether no further request may start on this connection."""
        return self._is_ended

    @property
    def held_bytes(self):
        """Bytes of pipelined requests and of answers that wait for their turn."""
        return self._bytes

    def try_start(self, request):
        """Start a request unless it has to wait.

        Parameters
        ----------
        request : PipelinedRequest
            Next request of the connection.

        Returns
        -------
        Hold or None
            Why the request has to wait; None if it has started.
        """
        hold = None
        if self._requests:
            hold = self._find_hold(request)
        if hold is None:
            self._requests.append(request)
        return hold

    def _find_hold(self, request):
        if request.waits_for_earlier or self._requests[-1].blocks_later:
            return Hold.ORDER
        if len(self._requests) >= MAX_PIPELINED:
            return Hold.REQUESTS
        if self._bytes + request.size > MAX_CONNECTION_BYTES:
            return Hold.CONNECTION_BYTES
        if not self.try_hold_bytes(request, request.size):
            return Hold.TOTAL_BYTES
        return None

    def try_hold_bytes(self, request, size):
        """Count bytes that are kept for a request until it is answered.

        Parameters
        ----------
        request : PipelinedRequest
            Request that the bytes belong to.
        size : int
            Number of bytes.

        Returns
        -------
        bool
            Whether they are within the bounds; only then they are counted.
        """
        if self._bytes + size > MAX_CONNECTION_BYTES:
            return False
        if not self._budget.try_take(size):
            return False
        self._bytes += size
        request.held_bytes += size
        return True

    def has_started(self, request):
        """Return whether a request has started and is not answered."""
        return request in self._requests

    def has_turn(self, request):
        """Return whether a request may write its answer now."""
        return bool(self._requests) and self._requests[0] is request

    def is_last(self, request):
        """Return whether the connection ends with the answer to a request."""
        is_ending = self._is_ended and not self._has_refusal
        return is_ending and self._requests[-1] is request

    def end_after_started(self):
        """Start no further request: the connection ends with the last answer."""
        self._is_ended = True

    def end_with_refusal(self):
        """Start no further request: the refusal of one follows the last answer."""
        self._is_ended = True
        self._has_refusal = True

    def remove(self, request):
        """Remove a request that is answered or will not be, and give the next its turn.

        Parameters
        ----------
        request : PipelinedRequest
            The request; ignored if it was removed before.
        """
        if request not in self._requests:
            return
        self._requests.remove(request)
        self._bytes -= request.held_bytes
        self._budget.give_back(request.held_bytes)
        request.held_bytes = 0
        if self._requests:
            self._requests[0].give_turn()
