"""The two deployments of the soak test."""

import attrs


@attrs.frozen
class Deployment:
    """Services of one operator and the calls that its callers send.

    Attributes
    ----------
    region : str
        Region of the deployment.
    services : dict of str to int
        Number of targets of each service.
    slots : int
        Number of calls that a target executes concurrently.
    paths : dict of str to bool
        Paths of calls, and whether their work is at-most-once.
    catalogue : str
        Name of the catalogue file among the examples.
    """

    region: str
    services: dict[str, int]
    slots: int
    paths: dict[str, bool]
    catalogue: str


KINGSTON = Deployment(
    region="kingston",
    services={"inquiry": 5, "redemption": 3, "registry": 3},
    slots=10,
    paths={
        "/inquiry/balance": False,
        "/redemption/redeem": True,
        "/registry/purchase": True,
    },
    catalogue="kingston.catalogue.ini",
)

HO_CHI_MINH_CITY = Deployment(
    region="ho-chi-minh-city",
    services={"pricing": 4, "dispatch": 4, "ordering": 3},
    slots=6,
    paths={
        "/pricing/price": False,
        "/dispatch/slots": False,
        "/dispatch/confirm": True,
        "/ordering/pour": True,
    },
    catalogue="ho-chi-minh-city.catalogue.ini",
)

DEPLOYMENTS = (KINGSTON, HO_CHI_MINH_CITY)
DATA_CENTRES = 3
