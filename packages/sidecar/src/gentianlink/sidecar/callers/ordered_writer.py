"""Write an answer when the requests before it on the connection are answered."""

from gentianlink.node.proxy.answer_writer import AnswerWriter


class OrderedWriter(AnswerWriter):
    """Writes the answer to one of several requests of a connection."""

    async def wait_turn(self):
        """Wait until all requests before this one are answered."""
        connection = self._connection
        if not connection.pipeline.has_turn(connection.request):
            await connection.request.wait_turn()

    def may_buffer(self, size):
        """Return whether a part of the answer may be kept, within the bounds.

        Parameters
        ----------
        size : int
            Number of bytes.

        Returns
        -------
        bool
            False if the bytes that wait behind other answers reach a bound: the answer
            is then read on only when its turn has come.
        """
        pipeline, request = self._connection.pipeline, self._connection.request
        return pipeline.has_turn(request) or pipeline.try_hold_bytes(request, size)

    async def start(self, status, headers, chunk=b""):
        """Write the status line and the headers once it is this answer's turn.

        Parameters
        ----------
        status : int
            HTTP status.
        headers : HTTPHeaders
            Headers of the answer.
        chunk : bytes, optional
            First part of the body.

        Raises
        ------
        CallerGone
            If the caller closed its connection.
        """
        # Nearly always no other request is in progress; this saves a coroutine.
        if not self._connection.pipeline.has_turn(self._connection.request):
            await self.wait_turn()
        await super().start(status, headers, chunk)
