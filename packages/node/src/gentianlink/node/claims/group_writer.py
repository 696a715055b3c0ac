"""Batch the claim rows of several calls into one transaction."""

import asyncio

import attrs

from gentianlink.core.errors import (
    GentianlinkError,
    PlatformOutcomeUnknown,
    WriteConflict,
)
from gentianlink.core.row import Row
from gentianlink.node.background import start_task

MAX_CONCURRENT_TRANSACTIONS = 2
MAX_BATCH_CHARACTERS = 256 * 1024


@attrs.frozen(eq=False)
class _Put:
    key: str
    value: str
    revision: int
    future: asyncio.Future

    @property
    def check(self):
        return Row(self.key, self.revision, "")

    def fail(self, error):
        if not self.future.done():
            self.future.set_exception(error)

    def succeed(self, revision):
        if not self.future.done():
            self.future.set_result(revision)


class GroupWriter:
    """Collects conditional writes for a short time and commits them as a batch.

    A write whose revision check fails is removed from its batch, and the rest of the
    batch is committed again. A batch never contains two writes of one row: both would
    pass the same revision check.

    Parameters
    ----------
    table : TableClient
        The table service.
    max_rows : int
        Largest number of rows in a transaction.
    max_wait_ms : int
        Time in milliseconds for which a batch that is not full waits for more writes.
    sleep : callable, optional
        Coroutine function that waits for a time in seconds.
    """

    def __init__(self, table, max_rows, max_wait_ms, sleep=asyncio.sleep):
        self._table = table
        self._max_rows = max_rows
        self._max_wait_ms = max_wait_ms
        self._sleep = sleep
        self._queue = []
        self._workers = 0

    async def put(self, key, value, revision):
        """Write a row if it is still at the given revision.

        Parameters
        ----------
        key : str
            Key of the row.
        value : str
            Content of the row.
        revision : int
            Revision that the row must have; 0 if it must not exist.

        Returns
        -------
        int
            New revision of the row.

        Raises
        ------
        WriteConflict
            If the row is at another revision.
        PlatformUnavailable
            If nothing was written.
        PlatformOutcomeUnknown
            If the write may have taken effect, or may still take effect.
        """
        future = asyncio.get_running_loop().create_future()
        self._queue.append(_Put(key, value, revision, future))
        self._start_worker_if_needed()
        return await future

    def _start_worker_if_needed(self):
        is_full = len(self._queue) >= self._max_rows
        if self._workers and not (
            is_full and self._workers < MAX_CONCURRENT_TRANSACTIONS
        ):
            return
        self._workers += 1
        start_task(self._run(), "claim batches")

    async def _run(self):
        try:
            while self._queue:
                if len(self._queue) < self._max_rows and self._max_wait_ms:
                    await self._sleep(self._max_wait_ms / 1000)
                await self._commit(self._take_batch())
        finally:
            self._workers -= 1

    def _take_batch(self):
        batch = {}
        deferred = []
        size = 0
        for put in self._queue:
            is_full = len(batch) >= self._max_rows or size >= MAX_BATCH_CHARACTERS
            if is_full or put.key in batch:
                deferred.append(put)
                continue
            batch[put.key] = put
            size += len(put.value)
        self._queue = deferred
        return batch

    async def _commit(self, batch):
        try:
            revision = await self._transact(batch)
        except GentianlinkError as error:
            _fail_all(batch, error)
        except BaseException:
            _fail_all(
                batch, PlatformOutcomeUnknown("commit of the batch was interrupted")
            )
            raise
        else:
            for put in batch.values():
                put.succeed(revision)

    async def _transact(self, batch):
        while batch:
            puts = [(put.key, put.value) for put in batch.values()]
            checks = [put.check for put in batch.values()]
            try:
                return await self._table.transact(puts, checks)
            except WriteConflict as error:
                if error.key not in batch:
                    raise PlatformOutcomeUnknown(
                        "conflict on a row outside the batch"
                    ) from error
                batch.pop(error.key).fail(error)
        return 0


def _fail_all(batch, error):
    for put in batch.values():
        put.fail(error)
