"""Orders of the operator to roll out a version, read from the operator's table."""

from gentianlink.core.errors import CodecError
from gentianlink.core.rollout import RolloutState
from gentianlink.node.log import get_logger
from gentianlink.platform.rollout_codec import decode_rollout_order
from gentianlink.platform.wire import ROLLOUT_KEY_PREFIX

_LOG = get_logger("rollout")

# Revisions of rows are comparable within an era of the table service, so the revision
# of an order is that of its row with the era in front.
REVISION_BITS = 40


def make_order_revision(era, row_revision):
    """Return the revision of an order."""
    return (era << REVISION_BITS) + row_revision


def get_row_revision(order_revision):
    """Return the revision of the row of an order."""
    return order_revision & ((1 << REVISION_BITS) - 1)


class RolloutOrders:
    """Turns rows of the operator's table into states of roll-outs.

    Parameters
    ----------
    board : RolloutBoard
        States that this node knows.
    on_order : callable
        Called with the first state of a new roll-out.
    """

    def __init__(self, board, on_order):
        self._board = board
        self._on_order = on_order
        self._seen = set()
        self._era = None

    def note_rows(self, rows, era, wall_ms):
        """Take rows of the operator's table into account.

        Parameters
        ----------
        rows : iterable of RowChange
            Rows that were read; rows of other kinds are ignored.
        era : int
            Era of the table service.
        wall_ms : int
            Present time in milliseconds since the epoch.

        Returns
        -------
        bool
            Whether the table service has returned from an older copy.
        """
        is_restored = self._era is not None and self._era != era
        self._era = era
        for row in rows:
            if row.key.startswith(ROLLOUT_KEY_PREFIX):
                self._note_row(row, era, wall_ms)
        return is_restored

    def _note_row(self, row, era, wall_ms):
        if row.is_removed:
            _LOG.info("order of a roll-out removed", key=row.key)
            return
        try:
            order = decode_rollout_order(
                row.key, row.value, make_order_revision(era, row.revision)
            )
        except CodecError as error:
            _LOG.warning("order of a roll-out refused", key=row.key, why=str(error))
            return
        identity = row.key, row.revision, order.version, order.duration_ms
        known = self._board.get(order.service)
        if identity in self._seen or _is_same(order, known):
            return
        self._seen.add(identity)
        if known is not None and known.revision >= order.revision:
            return
        _LOG.info(
            "roll-out ordered",
            service=order.service,
            to=order.version,
            duration_ms=order.duration_ms,
            revision=order.revision,
        )
        self._on_order(
            RolloutState(
                service=order.service,
                version=order.version,
                revision=order.revision,
                started_ms=int(wall_ms),
                duration_ms=order.duration_ms,
            )
        )


def _is_same(order, state):
    """Return whether a state belongs to an order, perhaps of another era."""
    if state is None or state.version != order.version:
        return False
    return get_row_revision(state.revision) == get_row_revision(order.revision)
