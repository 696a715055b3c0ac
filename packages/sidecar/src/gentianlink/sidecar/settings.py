"""Settings of the sidecar process."""

import attrs

from gentianlink.core.errors import CodecError
from gentianlink.core.problem import Problem
from gentianlink.core.setting_fields import (
    MAX_PORT,
    boolean,
    decimal,
    endpoint,
    integer,
    ip_address,
    name,
    port_range,
    text,
    url,
)
from gentianlink.parser.settings_sections import load_file, parse_sections
from gentianlink.platform.bounds_codec import decode_bounds


@attrs.frozen
class NodeSection:
    """Section ``node``: identity and location of this node."""

    id: str = name()
    region: str = name()
    data_centre: str = name()
    address: str = ip_address()
    # Bandwidth of the link in megabits per second.
    link_mbps: float = decimal(0.01, 1e6)


@attrs.frozen
class ListenSection:
    """Section ``listen``: addresses and ports to listen on."""

    calls: str = endpoint()
    forwards: str = endpoint()
    ready: str = endpoint()
    control: str = endpoint()
    internal_ports: tuple[int, int] = port_range()
    # Same port as in the deploy file.
    metrics_port: int = integer(1, MAX_PORT, default=9464)


@attrs.frozen
class TargetSection:
    """Section ``target``: the target beside this process."""

    address: str = endpoint()
    service: str = text()


@attrs.frozen
class PlatformSection:
    """Section ``platform``: the table service."""

    table_url: str = url()
    # A healthy table service answers in 4 ms; a second without an answer is a failure.
    timeout_ms: int = integer(10, 60_000, default=1000)


@attrs.frozen
class DeploymentSection:
    """Section ``deployment``: values common to all nodes."""

    bounds: str = text()
    is_first_start: bool = boolean(default=False)


@attrs.frozen
class RoutingSection:
    """Section ``routing``, which may be missing: choice of targets."""

    # Price of a call to another data centre in milliseconds of its latency objective.
    transfer_cost_ms: float = decimal(0, 10_000, default=200.0)


@attrs.frozen
class SidecarSettings:
    """All settings of one sidecar process."""

    node: NodeSection
    listen: ListenSection
    target: TargetSection
    platform: PlatformSection
    deployment: DeploymentSection
    routing: RoutingSection

    @property
    def bounds(self):
        """Bounds of the deployment, decoded."""
        return decode_bounds(self.deployment.bounds)

    @property
    def peer_address(self):
        """Address at which other nodes exchange state with this one."""
        return f"{self.node.address}:{self.listen.internal_ports[0]}"


def load_sidecar_settings(path):
    """Load and validate the settings file of the sidecar.

    Parameters
    ----------
    path : pathlib.Path
        The file.

    Returns
    -------
    SidecarSettings
        Validated settings.

    Raises
    ------
    SettingsInvalid
        If the file can't be read or contains invalid settings.
    """
    return load_file(path, _parse)


def _parse(content, source):
    settings, problems = parse_sections(content, source, SidecarSettings)
    if settings is None:
        return None, problems
    try:
        decode_bounds(settings.deployment.bounds)
    except CodecError as error:
        allowed = "name=number pairs separated by commas"
        problem = Problem(source, "deployment", "bounds", str(error), allowed)
        return None, [problem]
    return settings, []
