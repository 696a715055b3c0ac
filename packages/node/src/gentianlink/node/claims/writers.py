"""Choose how claim rows are written."""

from gentianlink.node.claims.direct_writer import DirectWriter
from gentianlink.node.claims.group_writer import GroupWriter


def make_writer(settings, table):
    """Return the writer for the ``claims`` section of the settings.

    Parameters
    ----------
    settings : ClaimSettings
        One row in a batch means one transaction for each row.
    table : TableClient
        The table service.

    Returns
    -------
    DirectWriter or GroupWriter
        The writer.
    """
    if settings.batch_rows == 1:
        return DirectWriter(table)
    return GroupWriter(table, settings.batch_rows, settings.batch_wait_ms)
