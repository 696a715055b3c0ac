"""Failures of an exchange with a target or with the node beside it."""

from gentianlink.core.errors import GentianlinkError


class ExchangeError(GentianlinkError):
    """Base class of failures of an exchange."""


class TargetUnreachable(ExchangeError):
    """No connection could be opened; nothing was sent."""


class TargetLost(ExchangeError):
    """The connection closed before the whole answer had arrived."""


class TargetSilent(ExchangeError):
    """Nothing arrived for longer than the bound; the call may have run."""


class CallerGone(ExchangeError):
    """The caller closed its connection."""


class ConnectionLimitReached(ExchangeError):
    """All connections that one address may have are in use; nothing was sent."""


class ExchangeDeadlinePassed(ExchangeError):
    """The deadline passed before the whole answer had arrived."""


class BadAnswer(ExchangeError):
    """The end of the answer can't be told from a cut of the connection."""
