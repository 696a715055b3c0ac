"""Read accepted versions and their audit rows."""

from gentianlink.core.head import Head
from gentianlink.tools.errors import VersionNotFound


async def read_version(store, version=None):
    """Return a version of the catalogue.

    Parameters
    ----------
    store : CatalogueStore
        Accepted versions.
    version : int, optional
        The version; the last one if not given.

    Returns
    -------
    Catalogue
        The catalogue.

    Raises
    ------
    VersionNotFound
        If there is no such version.
    PlatformError
        If the platform can't be read.
    """
    if version is None:
        head, _ = await store.read_head()
        return await store.read_catalogue(head)
    if version == 0:
        return await store.read_catalogue(Head())
    change = await read_change(store, version)
    return await store.read_catalogue(Head(version, change.digest, change.change_id))


async def read_change(store, version):
    """Return the audit row of a version.

    Parameters
    ----------
    store : CatalogueStore
        Accepted versions.
    version : int
        The version.

    Returns
    -------
    Change
        The audit row.

    Raises
    ------
    VersionNotFound
        If there is no such version.
    PlatformError
        If the platform can't be read.
    """
    change = await store.read_change(version)
    if change is None:
        raise VersionNotFound(version)
    return change


async def read_changes(store, first, last):
    """Return the audit rows of a range of versions.

    Parameters
    ----------
    store : CatalogueStore
        Accepted versions.
    first, last : int
        Versions, both included.

    Returns
    -------
    list of Change
        Rows in the order of versions.
    """
    changes = []
    for version in range(max(1, first), last + 1):
        changes.append(await read_change(store, version))
    return changes


async def read_last_changes(store, count):
    """Return the last audit rows.

    Parameters
    ----------
    store : CatalogueStore
        Accepted versions.
    count : int
        Largest number of rows.

    Returns
    -------
    list of Change
        Rows in the order of versions.
    """
    head, _ = await store.read_head()
    return await read_changes(store, head.version - count + 1, head.version)
