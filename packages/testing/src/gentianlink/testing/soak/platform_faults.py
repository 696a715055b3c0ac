"""Inject faults into the platform stand-in."""

from tornado.httpclient import AsyncHTTPClient

from gentianlink.core.codec import encode
from gentianlink.testing.faults import Faults


async def set_faults(fleet, service, faults=None):
    """Replace the active faults of a service of the platform.

    Parameters
    ----------
    fleet : Fleet
        Processes of the deployment.
    service : str
        ``table`` or ``objects``.
    faults : Faults, optional
        Faults from now on; none if left out.
    """
    url = f"{fleet.platform_url}/faults/{service}"
    body = encode(faults or Faults())
    await AsyncHTTPClient().fetch(url, method="PUT", body=body)
