"""Write claim rows one transaction each."""

from gentianlink.platform.row import Row


class DirectWriter:
    """Writes each row in a transaction of its own.

    Parameters
    ----------
    table : TableClient
        The table service.
    """

    def __init__(self, table):
        self._table = table

    async def put(self, key, value, revision):
        """Write a row if it is still at a revision.

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
            If the row may have been written, or may be later.
        """
        return await self._table.transact([(key, value)], [Row(key, revision, "")])
