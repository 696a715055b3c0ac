"""Time that a long poll may take beyond the wait that was asked for."""

MIN_MARGIN_MS = 400.0
MAX_MARGIN_MS = 2000.0
# The margin in multiples of the delay of an answer, and of the transfer of a version.
DELAY_FACTOR = 4.0
TRANSFER_FACTOR = 2.0
GROWTH = 2.0


class PollMargin:
    """Margin after which an unanswered long poll counts as lost.

    A connection that has lost an answer stays silent even after the service is healthy
    again, so the margin bounds the age of a version at a reader. It is short while the
    service answers at once, and grows while the service is slow.
    """

    def __init__(self):
        self._margin_ms = MIN_MARGIN_MS
        self._transfer_ms = 0.0

    def compute_ms(self):
        """Return the margin in milliseconds."""
        margin_ms = self._margin_ms + TRANSFER_FACTOR * self._transfer_ms
        return min(MAX_MARGIN_MS, margin_ms)

    def note_answer(self, delay_ms):
        """Adapt the margin to an answer.

        Parameters
        ----------
        delay_ms : float
            Time in milliseconds between the end of the wait and the answer.
        """
        # An occasional fast answer of a slow service does not make the margin short.
        shortest_ms = max(MIN_MARGIN_MS, self._margin_ms / GROWTH)
        self._margin_ms = min(MAX_MARGIN_MS, max(shortest_ms, DELAY_FACTOR * delay_ms))

    def note_transfer(self, transfer_ms):
        """Allow for the transfer of another version as large as the last one.

        Parameters
        ----------
        transfer_ms : float
            Time in milliseconds that the last version takes on this node's link.
        """
        self._transfer_ms = transfer_ms

    def note_timeout(self):
        """Lengthen the margin, because the service may be slow rather than silent."""
        self._margin_ms = min(MAX_MARGIN_MS, self._margin_ms * GROWTH)
