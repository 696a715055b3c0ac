"""Command the platform stand-in to misbehave."""

from tornado.httpclient import AsyncHTTPClient

from gentianlink.core.codec import encode
from gentianlink.testing.faults import Faults


async def set_faults(fleet, service, faults=None):
    """Replace the faults in force of a service of the platform.

    Parameters
    ----------
    fleet : Fleet
        The deployment.
    service : str
        ``table`` or ``objects``.
    faults : Faults, optional
        What the service does wrong from now on; nothing if left out.
    """
    url = f"{fleet.platform_url}/faults/{service}"
    body = encode(faults or Faults())
    await AsyncHTTPClient().fetch(url, method="PUT", body=body)
