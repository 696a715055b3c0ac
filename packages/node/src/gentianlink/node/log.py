"""Structured logs: one line of JSON on standard error, a fixed prefix for each part."""

import logging
import sys

import structlog


def configure_logs(level):
    """Set up the logs of the process.

    Parameters
    ----------
    level : str
        Lowest level that is written.
    """
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.format_exc_info,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelName(level.upper())
        ),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
    )


def get_logger(prefix):
    """Return the logger of one part.

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
