"""Choice of the writer of claim rows."""

from gentianlink.node.claims.direct_writer import DirectWriter
from gentianlink.node.claims.group_writer import GroupWriter


def make_writer(settings, table):
    """Create the writer from the ``claims`` section of the settings.

    Parameters
    ----------
    settings : ClaimSettings
        With ``batch_rows`` of 1, each row is written in its own transaction.
    table : TableClient
        The table service.

    Returns
    -------
    DirectWriter or GroupWriter
        Writer without or with batches.
    """
    if settings.batch_rows == 1:
        return DirectWriter(table)
    return GroupWriter(table, settings.batch_rows, settings.batch_wait_ms)
