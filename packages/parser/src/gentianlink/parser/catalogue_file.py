"""Read a catalogue file and report every mistake in it at once.

The file has one section ``[service NAME]`` for each service and one section
``[entry NAME]`` for each entry.
"""

import re

import attrs

from gentianlink.core.catalogue import Catalogue
from gentianlink.core.entry import Entry
from gentianlink.core.limits import Limits
from gentianlink.core.problem import Problem
from gentianlink.core.service import Service
from gentianlink.core.work_class import WorkClass
from gentianlink.parser.ini_file import parse_ini, read_text, shorten

SERVICE_KEYS = ("owner", "panic_threshold")
LIMIT_KEYS = (
    "rate",
    "concurrency",
    "queue",
    "deadline_ms",
    "retries",
    "body_max_bytes",
)
_WHOLE_NUMBER = re.compile(r"-?[0-9]{1,18}")
_DECIMAL_NUMBER = re.compile(r"-?[0-9]{1,18}(\.[0-9]{1,18})?")
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
        Services and entries that could be parsed, at version 0.
    problems : list of Problem
        Every mistake found.
    """
    ini = parse_ini(text, source)
    services = []
    entries = []
    problems = list(ini.problems)
    for title, section in ini.sections.items():
        kind, _, name = title.partition(" ")
        name = name.strip()
        collector = _ProblemCollector(source, title, problems)
        if kind == "service" and name:
            services.append(_parse_service(name, section, collector))
        elif kind == "entry" and name:
            entries.append(_parse_entry(name, section, collector))
        else:
            collector.add("", "an unknown section", "[service NAME] or [entry NAME]")
    catalogue = Catalogue(
        services=tuple(sorted(filter(None, services), key=lambda item: item.name)),
        entries=tuple(sorted(filter(None, entries), key=lambda item: item.name)),
    )
    return catalogue, problems


def load_catalogue(path):
    """Read a catalogue file.

    Parameters
    ----------
    path : pathlib.Path
        The file.

    Returns
    -------
    catalogue : Catalogue
        Services and entries that could be parsed, at version 0.
    problems : list of Problem
        Every mistake found.
    """
    text, problems = read_text(path)
    if problems:
        return Catalogue(), problems
    return parse_catalogue(text, str(path))


@attrs.frozen
class _ProblemCollector:
    """Collects the problems of one section of a file."""

    source: str
    title: str
    problems: list[Problem]

    def add(self, key, found, allowed):
        self.problems.append(Problem(self.source, self.title, key, found, allowed))


def _parse_service(name, section, collector):
    _check_keys(section, SERVICE_KEYS, collector)
    owner = _get_text(section, "owner", collector)
    threshold = _get_number(section, "panic_threshold", float, 0.5, collector)
    if owner is None or threshold is None:
        return None
    return Service(name, owner, threshold)


def _parse_entry(name, section, collector):
    _check_keys(section, ENTRY_KEYS, collector)
    owner = _get_text(section, "owner", collector)
    service = _get_text(section, "service", collector)
    route = _get_text(section, "route", collector)
    work_class = _get_work_class(section, collector)
    limits = _parse_limits(section, collector)
    if None in (owner, service, route, work_class, limits):
        return None
    items = section.get("prefer", "").split(",")
    prefer = tuple(item.strip() for item in items if item.strip())
    return Entry(name, owner, service, work_class, route, limits, prefer)


def _parse_limits(section, collector):
    defaults = Limits()
    values = {}
    for key in LIMIT_KEYS:
        default = getattr(defaults, key)
        values[key] = _get_number(section, key, type(default), default, collector)
    if None in values.values():
        return None
    return Limits(**values)


def _check_keys(section, allowed, collector):
    for key in section:
        if key not in allowed:
            collector.add(key, "an unknown key", ", ".join(allowed))


def _get_text(section, key, collector):
    value = section.get(key, "").strip()
    if value:
        return value
    collector.add(key, "nothing", "a word")
    return None


def _get_number(section, key, parse, default, collector):
    value = section.get(key)
    if value is None:
        return default
    pattern = _WHOLE_NUMBER if parse is int else _DECIMAL_NUMBER
    if pattern.fullmatch(value):
        return parse(value)
    allowed = "a whole number" if parse is int else "a number such as 0.5"
    collector.add(key, shorten(value), allowed)
    return None


def _get_work_class(section, collector):
    value = section.get("class", "")
    try:
        return WorkClass(value)
    except ValueError:
        allowed = ", ".join(item.value for item in WorkClass)
        collector.add("class", shorten(value) if value else "nothing", allowed)
        return None
