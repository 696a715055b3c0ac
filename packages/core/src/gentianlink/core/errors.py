"""Exceptions of gentianlink."""


class GentianlinkError(Exception):
    """Base class of every error raised by gentianlink."""


class SettingsInvalid(GentianlinkError):
    """A settings file is invalid.

    Parameters
    ----------
    problems : list of Problem
        All mistakes found in the file.
    """

    def __init__(self, problems):
        super().__init__(f"mistakes in the settings: {len(problems)}")
        self.problems = problems


class CatalogueError(GentianlinkError):
    """Base class of errors about catalogue versions."""


class CatalogueInvalid(CatalogueError):
    """A catalogue is invalid and is not applied.

    Parameters
    ----------
    problems : list of Problem
        All mistakes found in the catalogue.
    """

    def __init__(self, problems):
        super().__init__(f"mistakes in the catalogue: {len(problems)}")
        self.problems = problems


class DigestMismatch(CatalogueError):
    """The content of a version does not match its digest."""


class DeltaMismatch(CatalogueError):
    """A delta was made for another version than the one it is applied to."""


class CodecError(GentianlinkError):
    """Untrusted bytes do not decode to the expected type."""


class AnnouncementInvalid(GentianlinkError):
    """A target's announcement is invalid and was rejected.

    Parameters
    ----------
    messages : list of str
        All mistakes found.
    """

    def __init__(self, messages):
        super().__init__("; ".join(messages))
        self.messages = messages


class MeshError(GentianlinkError):
    """Base class of errors on links between nodes."""


class LinkRefused(MeshError):
    """A link between nodes was refused or closed.

    Parameters
    ----------
    reason : LinkCloseReason
        Reason for the end of the link.
    """

    def __init__(self, reason):
        super().__init__(reason.value)
        self.reason = reason


class PlatformError(GentianlinkError):
    """Base class of errors from the platform's table service and object store."""


class PlatformUnavailable(PlatformError):
    """The platform refused the request or was not reached; nothing took effect."""


class PlatformOutcomeUnknown(PlatformError):
    """The request was sent but got no usable answer; it may have taken effect."""


class PlatformAnswerInvalid(PlatformOutcomeUnknown):
    """The platform's answer has an unexpected status or does not decode."""


class WriteConflict(PlatformError):
    """A conditional transaction found a row at another revision.

    Parameters
    ----------
    key : str
        Key of the row.
    revision : int
        Current revision of the row.
    """

    def __init__(self, key, revision):
        super().__init__(f"row {key} is at revision {revision}")
        self.key = key
        self.revision = revision


class HistoryUnavailable(PlatformError):
    """The table service no longer has the changes after a revision."""


class ObjectNotFound(PlatformError):
    """The object store has no object of this name."""


class ChangeNotAccepted(PlatformUnavailable):
    """The platform failed before the change was accepted; it never will be."""


class ChangeOutcomeUnknown(PlatformOutcomeUnknown):
    """A change may have been accepted, or may still be.

    Parameters
    ----------
    change_id : str
        Identifier of the change; repeating the request with it resolves the outcome.
    """

    def __init__(self, change_id):
        super().__init__(
            f"outcome of change {change_id} is unknown; repeat it with the same id"
        )
        self.change_id = change_id


class ChangeConflict(WriteConflict):
    """Another change was accepted first; this one never will be.

    Parameters
    ----------
    conflict : WriteConflict
        Conflict on the row that is at another revision.
    changes : tuple of Change or None
        Changes accepted since the base version, None if they could not be read.
    """

    def __init__(self, conflict, changes):
        super().__init__(conflict.key, conflict.revision)
        self.changes = changes


class ChangeIdReused(CatalogueError):
    """The id of a change was already used by another accepted change.

    Parameters
    ----------
    change : Change
        Audit row of the accepted change.
    """

    def __init__(self, change):
        super().__init__(
            f"{change.change_id} was already used for version {change.version}"
        )
        self.change = change
