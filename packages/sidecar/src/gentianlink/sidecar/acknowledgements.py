"""Whether what a target has announced outlives this process.

An acknowledgement binds all nodes, also if this process ends right after it. So it is
given only once the announced state is in this node's row, or, while the table service
does not answer, in the memory of other nodes, which return it to the next process.
"""

import asyncio

from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.log import get_logger

_LOG = get_logger("target")

# A target takes an acknowledgement that arrives within a second.
MAX_WAIT_MS = 800.0
# Writing the row takes some 30 ms on a healthy platform.
ROW_WAIT_MS = 200.0
CHECK_S = 0.01
# Period of offering the record to nodes that may not know it.
OFFER_MS = 100.0
# Other nodes that have to know a state which is not stored.
MIN_HOLDERS = 2


class Acknowledgements:
    """Waits until the record of this node is kept outside of this process.

    Parameters
    ----------
    rows : NodeRows
        Writes this node's row.
    exchange : PeerExchange
        Exchanges records with other nodes.
    metrics : CallMetrics
        Counts by where the record is kept.
    """

    def __init__(self, rows, exchange, metrics):
        self._rows = rows
        self._exchange = exchange
        self._metrics = metrics

    async def wait_until_kept(self, target_id):
        """Wait until the present record of this node is stored or known to others.

        Parameters
        ----------
        target_id : str
            Name of the target whose announcement waits, for the log.

        Returns
        -------
        bool
            False if neither is certain within the time that the target waits.
        """
        order = self._exchange.own_order
        started_ms = get_monotonic_ms()
        offer_ms = started_ms + ROW_WAIT_MS
        while not (place := self._find_place(order)):
            now_ms = get_monotonic_ms()
            if now_ms - started_ms >= MAX_WAIT_MS:
                break
            if now_ms >= offer_ms:
                offer_ms = now_ms + OFFER_MS
                self._exchange.offer_record(order)
            await asyncio.sleep(CHECK_S)
        self._metrics.count("announcements_kept_total", place=place or "nowhere")
        if place != "row":
            _LOG.warning(
                "announcement not stored",
                target=target_id,
                kept_in=place or "nowhere",
                waited_ms=round(get_monotonic_ms() - started_ms),
            )
        return bool(place)

    def _find_place(self, order):
        """Return where the record is kept, empty if nowhere."""
        if self._rows.is_stored:
            return "row"
        holders, others = self._exchange.count_holders(order)
        is_held = holders and holders >= min(MIN_HOLDERS, others)
        return "other nodes" if is_held else ""
