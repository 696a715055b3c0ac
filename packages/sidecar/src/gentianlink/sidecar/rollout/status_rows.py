"""Rows with the states of roll-outs for the operator, written conditionally."""

import asyncio

from gentianlink.core.errors import CodecError, PlatformError, WriteConflict
from gentianlink.core.rollout import RolloutPhase
from gentianlink.node.backoff import compute_backoff_s
from gentianlink.node.log import get_logger
from gentianlink.platform.rollout_codec import (
    decode_rollout_status,
    encode_rollout_status,
)
from gentianlink.platform.wire import ROLLOUT_KEY_PREFIX
from gentianlink.sidecar.rollout.rollout_orders import get_row_revision

_LOG = get_logger("rollout")

FIRST_BACKOFF_MS = 100
MAX_BACKOFF_MS = 500
ENDED = (RolloutPhase.DONE, RolloutPhase.ROLLED_BACK)


class StatusRows:
    """Keeps the status rows up to date.

    Any node may write a row: each write requires that the row is still the one that was
    read just before, and an end that is written is never overwritten by another one.

    Parameters
    ----------
    table : TableClient
        Client of the status table.
    get_state : callable
        Returns the state of a service's roll-out that this node knows.
    on_status : callable
        Called with the state that was to be written and the phase that the row has.
    """

    def __init__(self, table, get_state, on_status):
        self._table = table
        self._get_state = get_state
        self._on_status = on_status
        self._due = {}
        self._changed = asyncio.Event()

    def ensure(self, state):
        """Have the row say what a state says, unless it names an end already."""
        if self._due.get(state.service) != state:
            self._due[state.service] = state
            self._changed.set()

    async def run(self):
        """Write the rows that are due, until cancelled."""
        attempt = 0
        while True:
            await self._changed.wait()
            self._changed.clear()
            has_failed = False
            for state in list(self._due.values()):
                has_failed |= not await self._try_write(state)
            attempt = attempt + 1 if has_failed else 0
            if has_failed:
                await asyncio.sleep(
                    compute_backoff_s(attempt, FIRST_BACKOFF_MS, MAX_BACKOFF_MS)
                )
                self._changed.set()

    async def _try_write(self, state):
        known = self._get_state(state.service)
        if known is not None and known.revision > state.revision:
            self._forget(state)
            return True
        try:
            phase = await self._write(state)
        except (WriteConflict, PlatformError) as error:
            # Whether a write without an answer took effect shows in the next read.
            _LOG.warning(
                "status of a roll-out not written",
                service=state.service,
                state=state.phase.value,
                why=type(error).__name__,
                detail=str(error),
            )
            return False
        self._forget(state)
        if phase is not None:
            self._on_status(state, phase)
        return True

    def _forget(self, state):
        if self._due.get(state.service) == state:
            del self._due[state.service]

    async def _write(self, state):
        """Return the phase of the row, None if it belongs to a later order."""
        row = await self._table.read(ROLLOUT_KEY_PREFIX + state.service)
        try:
            phase, version = decode_rollout_status(row.value)
        except CodecError as error:
            phase, version = None, None
            if row.value:
                _LOG.warning(
                    "status of a roll-out unreadable",
                    service=state.service,
                    why=str(error),
                )
        is_later = row.revision > get_row_revision(state.revision)
        if is_later and version not in (None, state.version):
            _LOG.warning(
                "status belongs to a later order", service=state.service, to=version
            )
            return None
        wanted = state.phase
        if is_later and version == state.version and phase in (*ENDED, wanted):
            return phase
        # The row may have been written in another form, by an earlier order or by a
        # node before the table service returned from an older copy.
        value = encode_rollout_status(state)
        key = ROLLOUT_KEY_PREFIX + state.service
        await self._table.transact([(key, value)], [row])
        _LOG.info(
            "status of a roll-out written",
            service=state.service,
            to=state.version,
            state=wanted.value,
        )
        return wanted
