"""Checks between keys of a node's settings, each one its own function."""

from gentianlink.core.problem import Problem


def validate_settings(settings, source):
    """Run every check between keys of a node's settings.

    Parameters
    ----------
    settings : Settings
        Settings whose single values are allowed.
    source : str
        File for messages.

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
    """Return a problem for each port of this node that is given twice."""
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
    """Return a problem if a seed is this node itself."""
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
    """Return a problem for each seed that is given twice."""
    seeds = settings.mesh.seeds
    repeated = sorted({seed for seed in seeds if seeds.count(seed) > 1})
    return [Problem(source, "mesh", "seeds", seed, "once") for seed in repeated]


def validate_anti_entropy(settings, source):
    """Return a problem if records are compared more often than heartbeats go out."""
    mesh = settings.mesh
    if mesh.anti_entropy_ms >= mesh.heartbeat_ms:
        return []
    found = str(mesh.anti_entropy_ms)
    allowed = f"heartbeat_ms ({mesh.heartbeat_ms}) or more"
    return [Problem(source, "mesh", "anti_entropy_ms", found, allowed)]


def validate_connect_timeout(settings, source):
    """Return a problem if connecting may take longer than a silent connection."""
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
