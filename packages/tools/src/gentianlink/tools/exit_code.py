"""Exit codes of the command line."""

import enum


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    OK = 0
    DIFFERENT = 1
    INVALID = 2
    CONFLICT = 3
    OUTCOME_UNKNOWN = 4
    PLATFORM_UNAVAILABLE = 5
    VERSION_NOT_FOUND = 6
    WAIT_TIMEOUT = 7
    NODE_UNREACHABLE = 8
    DECLINED = 9
    CONTENT_DAMAGED = 10
    BEHIND = 11

    @property
    def meaning(self):
        """Meaning of the code, as one sentence."""
        return _MEANINGS[self]


_MEANINGS = {
    ExitCode.OK: "The command did what it was asked.",
    ExitCode.DIFFERENT: "`diff` found a difference.",
    ExitCode.INVALID: "The command line, settings or catalogue file has mistakes.",
    ExitCode.CONFLICT: "Another change was accepted first; nothing was changed.",
    ExitCode.OUTCOME_UNKNOWN: (
        "The change may have been accepted; repeat it with the same change id."
    ),
    ExitCode.PLATFORM_UNAVAILABLE: "The platform did not answer; nothing was changed.",
    ExitCode.VERSION_NOT_FOUND: "There is no such version.",
    ExitCode.WAIT_TIMEOUT: "The version was not seen in force on every node in time.",
    ExitCode.NODE_UNREACHABLE: "No node answered on its admin port.",
    ExitCode.DECLINED: "The operator did not confirm; nothing was changed.",
    ExitCode.CONTENT_DAMAGED: "Content on the platform is missing or damaged.",
    ExitCode.BEHIND: "`status` found a node that is behind or does not answer.",
}
