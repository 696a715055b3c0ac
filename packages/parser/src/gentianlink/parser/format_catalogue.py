"""Format a catalogue as INI text that can be parsed again."""

from gentianlink.core.limits import Limits
from gentianlink.core.service import Service
from gentianlink.parser.catalogue_file import LIMIT_KEYS


def format_catalogue(catalogue):
    """Return a catalogue as INI text without the keys that have default values.

    Parameters
    ----------
    catalogue : Catalogue
        The catalogue.

    Returns
    -------
    str
        Text that :func:`parse_catalogue` parses into the same services and entries.
    """
    sections = [_format_service(service) for service in catalogue.services]
    sections += [_format_entry(entry) for entry in catalogue.entries]
    return "\n".join(sections)


def _format_service(service):
    lines = [f"[service {service.name}]", f"owner = {service.owner}"]
    default = Service("", "").panic_threshold
    if service.panic_threshold != default:
        lines.append(f"panic_threshold = {_format_number(service.panic_threshold)}")
    return "\n".join(lines) + "\n"


def _format_entry(entry):
    lines = [
        f"[entry {entry.name}]",
        f"owner = {entry.owner}",
        f"service = {entry.service}",
        f"class = {entry.work_class.value}",
        f"route = {entry.route}",
    ]
    if entry.prefer:
        lines.append(f"prefer = {', '.join(entry.prefer)}")
    defaults = Limits()
    for key in LIMIT_KEYS:
        value = getattr(entry.limits, key)
        if value != getattr(defaults, key):
            lines.append(f"{key} = {_format_number(value)}")
    return "\n".join(lines) + "\n"


def _format_number(value):
    if isinstance(value, int):
        return str(value)
    return f"{value:.18f}".rstrip("0").rstrip(".")
