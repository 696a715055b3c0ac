"""Settings of the command line: addresses of the platform and the nodes."""

import attrs

from gentianlink.core.setting_fields import text, url_list
from gentianlink.core.settings import PlatformSettings


@attrs.frozen
class AdminSettings:
    """Section ``nodes``: admin ports that the commands query."""

    admin_urls: tuple[str, ...] = url_list(default=())


@attrs.frozen
class OperatorIdentity:
    """Section ``operator``: operator that the audit trail records."""

    name: str = text(default="")


@attrs.frozen
class OperatorSettings:
    """All settings of the command line, one attribute for each section."""

    platform: PlatformSettings
    nodes: AdminSettings = attrs.field(factory=AdminSettings)
    operator: OperatorIdentity = attrs.field(factory=OperatorIdentity)
