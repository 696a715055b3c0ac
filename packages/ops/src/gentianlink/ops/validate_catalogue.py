"""Check a catalogue.

A catalogue with any problem is rejected as a whole: by the operator's command before
the catalogue is accepted, and by each node before it is applied.
"""

import collections

from gentianlink.core.problem import Problem
from gentianlink.core.setting_fields import NAME_ALLOWED, is_name

MAX_DEADLINE_MS = 600_000
MAX_RETRIES = 5
MAX_BODY_BYTES = 1 << 30
MAX_SERVICES = 2_000
MAX_ENTRIES = 20_000
MAX_PREFERRED_DATA_CENTRES = 32
MAX_ROUTE_CHARACTERS = 256


def validate_catalogue(catalogue, source):
    """Run every check over a catalogue.

    Parameters
    ----------
    catalogue : Catalogue
        The catalogue.
    source : str
        Name of the file or version for messages.

    Returns
    -------
    list of Problem
        Every mistake found, empty for a valid catalogue.
    """
    problems = []
    for check in CHECKS:
        problems.extend(check(catalogue, source))
    return problems


def validate_unique_names(catalogue, source):
    """Return a problem for each duplicate name."""
    problems = []
    for kind, items in (("service", catalogue.services), ("entry", catalogue.entries)):
        counts = collections.Counter(item.name for item in items)
        for name, count in counts.items():
            if count > 1:
                section = f"{kind} {name}"
                found = f"{count} times"
                problems.append(Problem(source, section, "", found, "once"))
    return problems


def validate_size(catalogue, source):
    """Return a problem if there are more services or entries than allowed."""
    problems = []
    for kind, items, maximum in (
        ("service", catalogue.services, MAX_SERVICES),
        ("entry", catalogue.entries, MAX_ENTRIES),
    ):
        if len(items) > maximum:
            found = f"{len(items)} sections"
            problems.append(Problem(source, kind, "", found, f"at most {maximum}"))
    return problems


def validate_names(catalogue, source):
    """Return a problem for each name or owner with invalid syntax."""
    problems = []
    for kind, items in (("service", catalogue.services), ("entry", catalogue.entries)):
        for item in items:
            section = f"{kind} {item.name}"
            if not is_name(item.name):
                problems.append(Problem(source, section, "", item.name, NAME_ALLOWED))
            if not is_name(item.owner):
                problems.append(
                    Problem(source, section, "owner", item.owner, NAME_ALLOWED)
                )
    return problems


def validate_preferences(catalogue, source):
    """Return a problem for each mistake in the preferred data centres of an entry."""
    problems = []
    for entry in catalogue.entries:
        section = f"entry {entry.name}"
        if len(entry.prefer) > MAX_PREFERRED_DATA_CENTRES:
            found = f"{len(entry.prefer)} data centres"
            allowed = f"at most {MAX_PREFERRED_DATA_CENTRES}"
            problems.append(Problem(source, section, "prefer", found, allowed))
        for name, count in collections.Counter(entry.prefer).items():
            if not is_name(name):
                problems.append(Problem(source, section, "prefer", name, NAME_ALLOWED))
            if count > 1:
                found = f"{name} {count} times"
                problems.append(Problem(source, section, "prefer", found, "once"))
    return problems


def validate_services_exist(catalogue, source):
    """Return a problem for each entry whose service is not in the catalogue."""
    names = {service.name for service in catalogue.services}
    allowed = ", ".join(sorted(names)) or "a service of this catalogue"
    return [
        Problem(source, f"entry {entry.name}", "service", entry.service, allowed)
        for entry in catalogue.entries
        if entry.service not in names
    ]


def validate_routes(catalogue, source):
    """Return a problem for each route that is malformed or used twice."""
    problems = []
    owners = {}
    for entry in catalogue.entries:
        section = f"entry {entry.name}"
        route = entry.route
        if not is_route(route):
            allowed = "an absolute path without '//', '..', '?' or a last '/'"
            problems.append(Problem(source, section, "route", route, allowed))
        if route in owners:
            allowed = f"a route other than that of entry {owners[route]}"
            problems.append(Problem(source, section, "route", route, allowed))
        owners[route] = entry.name
    return problems


def is_route(route):
    """Return whether a text is a path prefix that a call can match.

    Parameters
    ----------
    route : str
        The path prefix.

    Returns
    -------
    bool
        True for an absolute, normalised path.
    """
    if not route.startswith("/") or route.endswith("/"):
        return False
    if len(route) > MAX_ROUTE_CHARACTERS or not route.isprintable():
        return False
    if not route.isascii() or any(character in route for character in "?#% \t\\"):
        return False
    return all(part not in ("", ".", "..") for part in route[1:].split("/"))


def validate_limits(catalogue, source):
    """Return a problem for each limit outside its range."""
    problems = []
    for entry in catalogue.entries:
        limits = entry.limits
        ranges = (
            ("rate", limits.rate, 0, 1e6),
            ("concurrency", limits.concurrency, 0, 100_000),
            ("queue", limits.queue, 0, 100_000),
            ("deadline_ms", limits.deadline_ms, 1, MAX_DEADLINE_MS),
            ("retries", limits.retries, 0, MAX_RETRIES),
            ("body_max_bytes", limits.body_max_bytes, 0, MAX_BODY_BYTES),
        )
        for key, value, low, high in ranges:
            if not low <= value <= high:
                section = f"entry {entry.name}"
                allowed = f"{low} to {high}"
                problems.append(Problem(source, section, key, str(value), allowed))
    return problems


def validate_thresholds(catalogue, source):
    """Return a problem for each panic threshold outside 0 to 1."""
    problems = []
    for service in catalogue.services:
        if not 0 <= service.panic_threshold <= 1:
            section = f"service {service.name}"
            found = str(service.panic_threshold)
            problems.append(
                Problem(source, section, "panic_threshold", found, "0 to 1")
            )
    return problems


CHECKS = (
    validate_size,
    validate_unique_names,
    validate_names,
    validate_preferences,
    validate_services_exist,
    validate_routes,
    validate_limits,
    validate_thresholds,
)
