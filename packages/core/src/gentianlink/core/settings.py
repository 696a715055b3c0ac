"""Settings of a node, with the allowed values of each key."""

import attrs

from gentianlink.core.setting_fields import (
    MAX_PORT,
    address_list,
    choice,
    integer,
    ip_address,
    name,
    url,
)


@attrs.frozen
class NodeSettings:
    """Section ``node``: name and location of this node."""

    id: str = name()
    region: str = name()
    data_centre: str = name()


@attrs.frozen
class ListenSettings:
    """Section ``listen``: address and ports on which this process listens."""

    address: str = ip_address()
    call_port: int = integer(1, MAX_PORT)
    mesh_port: int = integer(1, MAX_PORT)
    admin_port: int = integer(1, MAX_PORT)


@attrs.frozen
class PlatformSettings:
    """Section ``platform``: the table service and the object store."""

    table_url: str = url()
    object_url: str = url()
    timeout_ms: int = integer(10, 60_000, default=1000)


@attrs.frozen
class MeshSettings:
    """Section ``mesh``: links to other nodes, and polling of the head row."""

    seeds: tuple[str, ...] = address_list(default=())
    links_inside: int = integer(1, 64, default=2)
    links_across: int = integer(0, 64, default=1)
    links_regions: int = integer(0, 64, default=1)
    push_links: int = integer(0, 64, default=1)
    snapshots_per_s: int = integer(1, 1000, default=4)
    distribution: str = choice("mesh", "platform", default="mesh")
    readers: int = integer(1, 100_000, default=2)
    poll_ms: int = integer(20, 60_000, default=200)
    heartbeat_ms: int = integer(20, 60_000, default=1000)
    suspect_after_ms: int = integer(100, 600_000, default=3000)
    dead_after_ms: int = integer(100, 600_000, default=4000)
    anti_entropy_ms: int = integer(50, 600_000, default=5000)


@attrs.frozen
class CallSettings:
    """Section ``calls``: connections and time limits of the proxy."""

    connections: int = integer(1, 10_000, default=130)
    connect_timeout_ms: int = integer(1, 60_000, default=250)
    silence_timeout_ms: int = integer(10, 600_000, default=5000)
    target_lease_ms: int = integer(100, 600_000, default=3000)


@attrs.frozen
class ClaimSettings:
    """Section ``claims``: at-most-once execution."""

    batch_rows: int = integer(1, 1000, default=64)
    batch_wait_ms: int = integer(0, 1000, default=0)
    max_pending: int = integer(1, 1_000_000, default=2000)
    answer_max_bytes: int = integer(0, 1 << 20, default=16 * 1024)
    retention_hours: int = integer(1, 8760, default=24)
    clean_rows: int = integer(1, 1000, default=100)
    clean_period_ms: int = integer(100, 600_000, default=5000)


@attrs.frozen
class LogSettings:
    """Section ``log``: structured logs on standard error."""

    level: str = choice(
        "debug", "info", "warning", "error", default="info", reloadable=True
    )
    format: str = choice("json", "console", default="json", reloadable=True)


@attrs.frozen
class Settings:
    """All settings of a node, one attribute for each section."""

    node: NodeSettings
    listen: ListenSettings
    platform: PlatformSettings
    mesh: MeshSettings
    calls: CallSettings
    claims: ClaimSettings
    log: LogSettings
