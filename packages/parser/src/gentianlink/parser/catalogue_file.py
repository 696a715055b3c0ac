"""Read a catalogue file and report every mistake in it at once.

The file has one section ``[service NAME]`` for each service and one section
``[entry NAME]`` for each entry.
"""

import configparser

from gentianlink.core.catalogue import Catalogue
from gentianlink.core.entry import Entry
from gentianlink.core.limits import Limits
from gentianlink.core.problem import Problem
from gentianlink.core.service import Service
from gentianlink.core.work_class import WorkClass

SERVICE_KEYS = ("owner", "panic_threshold")
LIMIT_KEYS = (
    "rate",
    "concurrency",
    "queue",
    "deadline_ms",
    "retries",
    "body_max_bytes",
)
ENTRY_KEYS = ("owner", "service", "class", "route", "prefer", *LIMIT_KEYS)


def parse_catalogue(text, source):
    """Parse the text of a catalogue file.

    Parameters
    ----------
    text : str
        INI text.
    source : str
        Name of the file for messages.

    Returns
    -------
    catalogue : Catalogue
        Services and entries that could be read, at version 0.
    problems : list of Problem
        Every mistake found.
    """
    config = configparser.ConfigParser(interpolation=None, empty_lines_in_values=False)
    try:
        config.read_string(text, source)
    except configparser.Error as error:
        problem = Problem(source, "", "", str(error).replace("\n", " "), "INI text")
        return Catalogue(), [problem]
    services = []
    entries = []
    problems = []
    for title in config.sections():
        kind, _, name = title.partition(" ")
        name = name.strip()
        section = config[title]
        if kind == "service" and name:
            services.append(_parse_service(name, section, source, problems))
        elif kind == "entry" and name:
            entries.append(_parse_entry(name, section, source, problems))
        else:
            allowed = "[service NAME] or [entry NAME]"
            problems.append(Problem(source, title, "", "an unknown section", allowed))
    catalogue = Catalogue(
        services=tuple(sorted(filter(None, services), key=lambda item: item.name)),
        entries=tuple(sorted(filter(None, entries), key=lambda item: item.name)),
    )
    return catalogue, problems


def _parse_service(name, section, source, problems):
    _check_keys(section, SERVICE_KEYS, source, problems)
    owner = _get_text(section, "owner", source, problems)
    threshold = _get_number(section, "panic_threshold", float, 0.5, source, problems)
    if owner is None or threshold is None:
        return None
    return Service(name, owner, threshold)


def _parse_entry(name, section, source, problems):
    _check_keys(section, ENTRY_KEYS, source, problems)
    owner = _get_text(section, "owner", source, problems)
    service = _get_text(section, "service", source, problems)
    route = _get_text(section, "route", source, problems)
    work_class = _get_work_class(section, source, problems)
    limits = _parse_limits(section, source, problems)
    if None in (owner, service, route, work_class, limits):
        return None
    words = section.get("prefer", "").split(",")
    prefer = tuple(word.strip() for word in words if word.strip())
    return Entry(name, owner, service, work_class, route, limits, prefer)


def _parse_limits(section, source, problems):
    defaults = Limits()
    values = {}
    for key in LIMIT_KEYS:
        default = getattr(defaults, key)
        parse = type(default)
        values[key] = _get_number(section, key, parse, default, source, problems)
    if None in values.values():
        return None
    return Limits(**values)


def _check_keys(section, allowed, source, problems):
    for key in section:
        if key not in allowed:
            names = ", ".join(allowed)
            problems.append(Problem(source, section.name, key, "an unknown key", names))


def _get_text(section, key, source, problems):
    value = section.get(key, "").strip()
    if value:
        return value
    problems.append(Problem(source, section.name, key, "nothing", "a word"))
    return None


def _get_number(section, key, parse, default, source, problems):
    value = section.get(key)
    if value is None:
        return default
    try:
        return parse(value)
    except ValueError:
        allowed = "a whole number" if parse is int else "a number"
        problems.append(Problem(source, section.name, key, repr(value), allowed))
        return None


def _get_work_class(section, source, problems):
    value = section.get("class", "")
    try:
        return WorkClass(value)
    except ValueError:
        allowed = ", ".join(item.value for item in WorkClass)
        found = repr(value) if value else "nothing"
        problems.append(Problem(source, section.name, "class", found, allowed))
        return None
