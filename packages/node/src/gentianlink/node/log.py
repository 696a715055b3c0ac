"""Structured logs on standard error, with a prefix for each component."""

import logging
import sys

import structlog


def configure_logs(settings):
    """Configure the logs of the process; may be called again while it runs.

    Parameters
    ----------
    settings : LogSettings
        Minimum level and format of log lines.
    """
    level = logging.getLevelNamesMapping()[settings.level.upper()]
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.format_exc_info,
            structlog.processors.TimeStamper(fmt="iso"),
            _make_renderer(settings.format),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=False,
    )
    logging.basicConfig(level=logging.CRITICAL, stream=sys.stderr, force=True)


def _make_renderer(format_name):
    if format_name == "console":
        return _render_console
    return structlog.processors.JSONRenderer()


def _render_console(logger, method_name, event_dict):
    when = event_dict.pop("timestamp")
    level = event_dict.pop("level")
    part = event_dict.pop("part", "gentianlink")
    event = event_dict.pop("event")
    trace = event_dict.pop("exception", "")
    pairs = " ".join(f"{key}={value!r}" for key, value in event_dict.items())
    line = f"{when} {level:7} {part}: {event} {pairs}".rstrip()
    return f"{line}\n{trace}" if trace else line


def get_logger(prefix):
    """Return the logger of one component.

    Parameters
    ----------
    prefix : str
        Fixed prefix, such as ``mesh``.

    Returns
    -------
    structlog logger
        Logger whose lines carry the prefix.
    """
    return structlog.get_logger(part=prefix)
