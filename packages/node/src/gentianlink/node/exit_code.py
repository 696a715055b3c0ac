"""Exit codes of the node."""

import enum


class NodeExitCode(enum.IntEnum):
    """Exit codes of the process, for the supervisor of the instance."""

    STOPPED = 0
    KILLED = 1
    SETTINGS_INVALID = 2
    CANNOT_LISTEN = 3

    @property
    def meaning(self):
        """Meaning of the code, as one sentence."""
        return _MEANINGS[self]


_MEANINGS = {
    NodeExitCode.STOPPED: "The node stopped gracefully, or `--check` found no mistake.",
    NodeExitCode.KILLED: "A second signal ended the node at once.",
    NodeExitCode.SETTINGS_INVALID: "The settings file has mistakes; all are listed.",
    NodeExitCode.CANNOT_LISTEN: "An address or port can't be listened on.",
}
