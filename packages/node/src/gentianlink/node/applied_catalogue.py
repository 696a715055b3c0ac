"""The catalogue version in force on this node, and the latest one that it holds.

The two differ only while the latest version is invalid. Such a version is kept,
because later deltas start from it and neighbours fetch it, but never put into force.
"""

import collections

from gentianlink.core.catalogue import Catalogue
from gentianlink.core.errors import DeltaMismatch
from gentianlink.node.delta_chain import DeltaChain
from gentianlink.node.held_version import HeldVersion
from gentianlink.node.log import get_logger
from gentianlink.ops.delta import apply_delta
from gentianlink.ops.validate_catalogue import validate_catalogue

_LOG = get_logger("catalogue")

MAX_TIMES_KEPT = 256
MAX_REFUSED_KEPT = 16
REASON_UNDECODABLE = "the content does not decode"


class AppliedCatalogue:
    """The version in force, replaced as a whole and only by a later one.

    Parameters
    ----------
    on_applied : callable
        Called without arguments after a later version came into force.
    on_held : callable, optional
        Called without arguments after a later version was received, valid or not.
    """

    def __init__(self, on_applied, on_held=None):
        self._on_applied = on_applied
        self._on_held = on_held or _do_nothing
        self._in_force = HeldVersion.from_catalogue(Catalogue())
        self._latest = self._in_force
        self._chain = DeltaChain()
        self._applied_ms = collections.OrderedDict()
        self._accepted_ms = collections.OrderedDict()
        self._refused = collections.OrderedDict()
        self._required_version = None

    @property
    def catalogue(self):
        """Catalogue in force."""
        return self._in_force.catalogue

    @property
    def version(self):
        """Version in force."""
        return self._in_force.version

    @property
    def digest(self):
        """Digest of the version in force."""
        return self._in_force.digest

    @property
    def in_force(self):
        """Version in force with its content."""
        return self._in_force

    @property
    def latest(self):
        """Latest version received, whether it is in force or was refused."""
        return self._latest

    @property
    def applied_ms(self):
        """Times at which versions came into force, by version."""
        return dict(self._applied_ms)

    @property
    def accepted_ms(self):
        """Times at which versions were accepted, by version, where known."""
        return dict(self._accepted_ms)

    @property
    def refused(self):
        """Reasons for which versions were refused, by version."""
        return dict(self._refused)

    @property
    def is_current(self):
        """Whether no earlier incarnation can have applied a later version.

        Only then may this node serve. Any version that an earlier incarnation applied
        was accepted before this process started, so it is not later than the first
        head that this process read.
        """
        if self._required_version is None:
            return False
        missing = range(self.version + 1, self._required_version + 1)
        return all(version in self._refused for version in missing)

    def set_required_version(self, version):
        """Set the version to reach before serving, unless it is already set.

        Parameters
        ----------
        version : int
            Version of the first head that this process read.
        """
        if self._required_version is None:
            self._required_version = version

    def note_accepted(self, version, accepted_ms):
        """Record when a version was accepted.

        Parameters
        ----------
        version : int
            The version.
        accepted_ms : int
            Time in milliseconds since the epoch; 0 if it is not known.
        """
        if accepted_ms:
            _put_bounded(self._accepted_ms, version, accepted_ms, MAX_TIMES_KEPT)

    def get_deltas_since(self, version):
        """Return the encoded deltas from a version to the latest received one.

        Parameters
        ----------
        version : int
            Version to start from.

        Returns
        -------
        list of bytes
            Deltas in order, empty if they are no longer kept.
        """
        return self._chain.get_since(version)

    def apply_snapshot(self, version, digest, data, now_ms):
        """Put a version into force from its snapshot, if it is valid.

        Parameters
        ----------
        version : int
            The version.
        digest : str
            Digest that the content must have.
        data : bytes
            Encoded content.
        now_ms : int
            Present time in milliseconds since the epoch.

        Returns
        -------
        bool
            Whether the version came into force.

        Raises
        ------
        DigestMismatch
            If the content does not match the digest or the version; no state changes.
        """
        if version <= self.version or version in self._refused:
            return False
        held = HeldVersion.from_data(version, digest, data)
        is_later = version > self._latest.version
        if is_later:
            self._chain.clear()
            self._latest = held
        return self._enforce_latest_valid([held], is_later, now_ms)

    def apply_deltas(self, deltas, now_ms):
        """Apply a chain of deltas and put its latest valid version into force.

        Parameters
        ----------
        deltas : list of Delta
            Deltas in order; those to versions already received are skipped.
        now_ms : int
            Present time in milliseconds since the epoch.

        Returns
        -------
        bool
            Whether a later version came into force.

        Raises
        ------
        CatalogueError
            If a delta does not apply; no delta of the chain is kept.
        """
        held = self._latest
        versions = []
        chained = []
        for delta in deltas:
            if delta.to_version <= held.version:
                continue
            held = _make_next_version(held, delta)
            versions.append(held)
            chained.append(delta)
        if not versions:
            return False
        for delta in chained:
            self._chain.append(delta)
        self._latest = held
        return self._enforce_latest_valid(versions, True, now_ms)

    def _enforce_latest_valid(self, versions, is_later, now_ms):
        valid = [held for held in versions if not self._refuse_if_invalid(held)]
        if valid:
            self._in_force = valid[-1]
            _put_bounded(self._applied_ms, self.version, now_ms, MAX_TIMES_KEPT)
            self._on_applied()
        if is_later:
            self._on_held()
        return bool(valid)

    def _refuse_if_invalid(self, held):
        reason = _find_refusal_reason(held)
        if reason is None:
            return False
        _put_bounded(self._refused, held.version, reason, MAX_REFUSED_KEPT)
        _LOG.error("version refused", version=held.version, why=reason)
        return True


def _do_nothing():
    pass


def _put_bounded(values, key, value, limit):
    values[key] = value
    while len(values) > limit:
        values.popitem(last=False)


def _find_refusal_reason(held):
    if held.catalogue is None:
        return REASON_UNDECODABLE
    problems = validate_catalogue(held.catalogue, f"version {held.version}")
    return problems[0].format() if problems else None


def _make_next_version(held, delta):
    if held.catalogue is None:
        raise DeltaMismatch(f"version {held.version} does not decode")
    return HeldVersion.from_catalogue(apply_delta(held.catalogue, held.digest, delta))
