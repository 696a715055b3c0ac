"""Write each claim row in its own transaction."""

from gentianlink.core.row import Row


class DirectWriter:
    """Writes each row in its own transaction.

    Parameters
    ----------
    table : TableClient
        The table service.
    """

    def __init__(self, table):
        self._table = table

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
        return await self._table.transact([(key, value)], [Row(key, revision, "")])
