"""Errors of the command line."""

from gentianlink.core.errors import GentianlinkError


class ToolError(GentianlinkError):
    """Base class of the errors of the command line."""


class VersionNotFound(ToolError):
    """A requested version of the catalogue does not exist.

    Parameters
    ----------
    version : int
        Requested version.
    """

    def __init__(self, version):
        super().__init__(f"there is no version {version}")
        self.version = version


class BaseMoved(ToolError):
    """The catalogue is no longer at the version that a change was made against.

    Parameters
    ----------
    base : int
        Version that the change was made against.
    changes : sequence of Change
        Changes accepted since.
    """

    def __init__(self, base, changes):
        super().__init__(f"version {base} is not the last one any more")
        self.base = base
        self.changes = tuple(changes)


class ChangeDeclined(ToolError):
    """The operator did not confirm a change."""


class NodeUnreachable(ToolError):
    """A node does not answer on its admin port.

    Parameters
    ----------
    url : str
        Address of the admin port.
    why : str
        Reason of the failure.
    """

    def __init__(self, url, why):
        super().__init__(f"{url} does not answer: {why}")
        self.url = url


class NodeAnswerInvalid(NodeUnreachable):
    """An admin port gave an answer that is malformed or not what was requested."""


class NoNodeFound(ToolError):
    """No node named by the options, the settings or the platform answers."""


class WaitTimeout(ToolError):
    """Some nodes did not enforce a version in time.

    Parameters
    ----------
    convergence : FleetConvergence
        Last convergence that was read.
    """

    def __init__(self, convergence):
        super().__init__(
            f"version {convergence.version} is in force on {convergence.in_force} "
            f"of {convergence.nodes} nodes"
        )
        self.convergence = convergence


class WaitFailed(ToolError):
    """A change was accepted, but waiting until it is in force failed.

    Parameters
    ----------
    version : int
        Version that was accepted.
    cause : GentianlinkError
        Why waiting failed.
    """

    def __init__(self, version, cause):
        super().__init__(f"version {version} was accepted, but waiting failed: {cause}")
        self.cause = cause
