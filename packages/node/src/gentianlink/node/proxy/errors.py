"""Failures of an exchange with a target or with another node."""

from gentianlink.core.errors import GentianlinkError


class ExchangeError(GentianlinkError):
    """Base class of failures of an exchange."""


class TargetUnreachable(ExchangeError):
    """No connection could be opened; nothing was sent."""


class TargetLost(ExchangeError):
    """The connection closed before the whole answer had arrived."""


class TargetSilent(ExchangeError):
    """The answer made no progress within the timeout; the call may have run."""


class CallerGone(ExchangeError):
    """The caller closed its connection."""


class ConnectionLimitReached(ExchangeError):
    """All connections allowed to one address are in use; nothing was sent."""


class ExchangeDeadlinePassed(ExchangeError):
    """The deadline passed before the whole answer had arrived."""


class BadAnswer(ExchangeError):
    """The answer is unframed, so that its end looks like a lost connection."""


class OtherAnswerBegun(GentianlinkError):
    """An answer can't be relayed, as the beginning of another one has been sent."""


class BodyIncomplete(GentianlinkError):
    """A call was to be made from a request whose body has not arrived completely."""
