"""Settings of the command line: where the platform and the nodes are."""

import attrs

from gentianlink.core.setting import text, url_list
from gentianlink.core.settings import PlatformSettings


@attrs.frozen
class AdminSettings:
    """Section ``nodes``: admin ports to ask about the fleet."""

    admin_urls: tuple[str, ...] = url_list(default=())


@attrs.frozen
class OperatorIdentity:
    """Section ``operator``: who the audit trail names."""

    name: str = text(default="")


@attrs.frozen
class OperatorSettings:
    """All settings of the command line, one attribute for each section."""

    platform: PlatformSettings
    nodes: AdminSettings = attrs.field(factory=AdminSettings)
    operator: OperatorIdentity = attrs.field(factory=OperatorIdentity)
