"""Check the keys of a node's settings against each other."""

from gentianlink.core.problem import Problem


def validate_settings(settings, source):
    """Check the keys of a node's settings against each other.

    Parameters
    ----------
    settings : Settings
        Settings in which each value by itself is valid.
    source : str
        Name of the file for messages.

    Returns
    -------
    list of Problem
        Every mistake found.
    """
    problems = []
    for check in CHECKS:
        problems.extend(check(settings, source))
    return problems


def validate_ports_differ(settings, source):
    """Return a problem for each port that two keys of this node share."""
    listen = settings.listen
    keys_by_port = {}
    problems = []
    for key in ("call_port", "mesh_port", "admin_port"):
        port = getattr(listen, key)
        other = keys_by_port.setdefault(port, key)
        if other != key:
            allowed = f"a port other than {other}"
            problems.append(Problem(source, "listen", key, str(port), allowed))
    return problems


def validate_seeds_are_others(settings, source):
    """Return a problem for each seed that is the address of this node."""
    listen = settings.listen
    own_addresses = (
        f"{listen.address}:{listen.mesh_port}",
        f"[{listen.address}]:{listen.mesh_port}",
    )
    return [
        Problem(source, "mesh", "seeds", seed, "addresses of other nodes")
        for seed in settings.mesh.seeds
        if seed in own_addresses
    ]


def validate_seeds_differ(settings, source):
    """Return a problem for each duplicate seed."""
    seeds = settings.mesh.seeds
    repeated = sorted({seed for seed in seeds if seeds.count(seed) > 1})
    return [Problem(source, "mesh", "seeds", seed, "once") for seed in repeated]


def validate_anti_entropy(settings, source):
    """Return a problem if the anti-entropy interval is below that of heartbeats."""
    mesh = settings.mesh
    if mesh.anti_entropy_ms >= mesh.heartbeat_ms:
        return []
    found = str(mesh.anti_entropy_ms)
    allowed = f"heartbeat_ms ({mesh.heartbeat_ms}) or more"
    return [Problem(source, "mesh", "anti_entropy_ms", found, allowed)]


def validate_connect_timeout(settings, source):
    """Return a problem if the connect timeout is above the silence timeout."""
    calls = settings.calls
    if calls.connect_timeout_ms <= calls.silence_timeout_ms:
        return []
    found = str(calls.connect_timeout_ms)
    allowed = f"silence_timeout_ms ({calls.silence_timeout_ms}) or less"
    return [Problem(source, "calls", "connect_timeout_ms", found, allowed)]


CHECKS = (
    validate_ports_differ,
    validate_seeds_are_others,
    validate_seeds_differ,
    validate_anti_entropy,
    validate_connect_timeout,
)
