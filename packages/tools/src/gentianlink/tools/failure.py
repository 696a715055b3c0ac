"""Turn a typed error into an exit code and a short message."""

import attrs

from gentianlink.core.errors import (
    CatalogueError,
    CatalogueInvalid,
    ChangeIdReused,
    ChangeOutcomeUnknown,
    CodecError,
    ObjectNotFound,
    PlatformError,
    SettingsInvalid,
    WriteConflict,
)
from gentianlink.tools.errors import (
    BaseMoved,
    ChangeDeclined,
    NodeUnreachable,
    NoNodeFound,
    VersionNotFound,
    WaitFailed,
    WaitTimeout,
)
from gentianlink.tools.exit_code import ExitCode

MAX_NAMES_SHOWN = 20


@attrs.frozen
class Failure:
    """Exit code and message for an error.

    Attributes
    ----------
    code : ExitCode
        Exit code.
    lines : tuple of str
        Lines of the message.
    """

    code: ExitCode
    lines: tuple[str, ...]


def describe_failure(error, request=None):
    """Return the exit code and the message for an error.

    Parameters
    ----------
    error : GentianlinkError
        The error.
    request : ChangeRequest, optional
        Change that the command requested; None for a command that only reads.

    Returns
    -------
    Failure
        Exit code and message.
    """
    if isinstance(error, SettingsInvalid | CatalogueInvalid):
        lines = tuple(problem.format() for problem in error.problems)
        return Failure(ExitCode.INVALID, (*lines, str(error)))
    if isinstance(error, WaitTimeout):
        return Failure(ExitCode.WAIT_TIMEOUT, _describe_behind(error))
    if isinstance(error, BaseMoved):
        return Failure(ExitCode.CONFLICT, _describe_conflict(error))
    if request is not None and _may_take_effect(error, request):
        line = f"not known whether accepted: {type(error).__name__}"
        hint = f"repeat the command with --change-id {request.change_id} to find out"
        return Failure(ExitCode.OUTCOME_UNKNOWN, (line, hint))
    for error_type, code, prefix in _SIMPLE_FAILURES:
        if isinstance(error, error_type):
            return Failure(code, (f"{prefix}{error}",))
    return Failure(ExitCode.INVALID, (str(error),))


def _may_take_effect(error, request):
    if isinstance(error, WriteConflict | ObjectNotFound):
        return False
    if isinstance(error, ChangeOutcomeUnknown):
        return True
    return request.is_repeat and isinstance(error, PlatformError)


_SIMPLE_FAILURES = (
    (WaitFailed, ExitCode.WAIT_TIMEOUT, ""),
    (VersionNotFound, ExitCode.VERSION_NOT_FOUND, ""),
    (ChangeIdReused, ExitCode.CONFLICT, "the change id is taken: "),
    (ChangeDeclined, ExitCode.DECLINED, ""),
    (NoNodeFound, ExitCode.NODE_UNREACHABLE, ""),
    (NodeUnreachable, ExitCode.NODE_UNREACHABLE, ""),
    (WriteConflict, ExitCode.CONFLICT, "another change was accepted first: "),
    (ObjectNotFound, ExitCode.CONTENT_DAMAGED, "the object store lacks "),
    (PlatformError, ExitCode.PLATFORM_UNAVAILABLE, "the platform is unavailable: "),
    (CodecError, ExitCode.CONTENT_DAMAGED, "the platform's content is damaged: "),
    (CatalogueError, ExitCode.CONTENT_DAMAGED, "the content is damaged: "),
)


def _describe_behind(error):
    convergence = error.convergence
    shown = convergence.behind[:MAX_NAMES_SHOWN]
    more = convergence.nodes - convergence.in_force - len(shown)
    suffix = f" and {more} more" if more > 0 else ""
    return (f"{error}", f"behind: {', '.join(shown)}{suffix}")


def _describe_conflict(error):
    lines = [f"not accepted: {error}; accepted since:"]
    for change in error.changes:
        lines.append(f"version {change.version} by {change.who}: {change.why}")
        lines.extend(f"  {line}" for line in change.difference)
    return tuple(lines)
