"""The catalogue version that this node enforces, and the latest one that it holds.

The two differ only while the latest version is a bad one: it is held, so that later
deltas chain onto it and neighbours learn of it, but it is never enforced.
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
REASON_NOT_DECODED = "the content does not decode"


class AppliedCatalogue:
    """One reference to the version in force; it is swapped whole and never goes back.

    Parameters
    ----------
    on_applied : callable
        Called with no arguments after a later version came into force.
    on_held : callable, optional
        Called with no arguments after a later version is held.
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
        self._floor = None

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
        """Latest version held, whether it is enforced or was refused."""
        return self._latest

    @property
    def applied_ms(self):
        """Times at which versions came into force, by version."""
        return dict(self._applied_ms)

    @property
    def accepted_ms(self):
        """Times at which versions were accepted, as far as known, by version."""
        return dict(self._accepted_ms)

    @property
    def refused(self):
        """Reasons for which versions were refused, by version."""
        return dict(self._refused)

    @property
    def is_current(self):
        """Whether this node may serve: no earlier incarnation applied a later version.

        A version that any incarnation applied was accepted before, so it is not later
        than a head read since the start of this process.
        """
        if self._floor is None:
            return False
        missing = range(self.version + 1, self._floor + 1)
        return all(version in self._refused for version in missing)

    def set_floor(self, version):
        """Take in the head as first read since the start of this process.

        Parameters
        ----------
        version : int
            Version of the head; later calls change nothing.
        """
        if self._floor is None:
            self._floor = version

    def note_accepted(self, version, accepted_ms):
        """Remember when a version was accepted.

        Parameters
        ----------
        version : int
            The version.
        accepted_ms : int
            Time in milliseconds since the epoch; 0 if it is not known.
        """
        if accepted_ms:
            _remember(self._accepted_ms, version, accepted_ms, MAX_TIMES_KEPT)

    def get_deltas_since(self, version):
        """Return the encoded deltas from a version to the latest one held.

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
        """Put a whole version into force.

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
            If the content is not what the digest names; nothing of it is kept.
        """
        if version <= self.version or version in self._refused:
            return False
        held = HeldVersion.from_data(version, digest, data)
        is_later = version > self._latest.version
        if is_later:
            self._chain.clear()
            self._latest = held
        return self._finish([held], is_later, now_ms)

    def apply_deltas(self, deltas, now_ms):
        """Put the latest good version that a chain of deltas leads to into force.

        Parameters
        ----------
        deltas : list of Delta
            Deltas in order; those to versions already held are skipped.
        now_ms : int
            Present time in milliseconds since the epoch.

        Returns
        -------
        bool
            Whether a later version came into force.

        Raises
        ------
        CatalogueError
            If a delta does not fit; nothing of the chain is kept.
        """
        held = self._latest
        versions = []
        chained = []
        for delta in deltas:
            if delta.to_version <= held.version:
                continue
            held = _follow(held, delta)
            versions.append(held)
            chained.append(delta)
        if not versions:
            return False
        for delta in chained:
            self._chain.append(delta)
        self._latest = held
        return self._finish(versions, True, now_ms)

    def _finish(self, versions, is_later, now_ms):
        good = [held for held in versions if not self._refuse_if_bad(held)]
        if good:
            self._in_force = good[-1]
            _remember(self._applied_ms, self.version, now_ms, MAX_TIMES_KEPT)
            self._on_applied()
        if is_later:
            self._on_held()
        return bool(good)

    def _refuse_if_bad(self, held):
        reason = _find_reason(held)
        if reason is None:
            return False
        _remember(self._refused, held.version, reason, MAX_REFUSED_KEPT)
        _LOG.error("version refused", version=held.version, why=reason)
        return True


def _do_nothing():
    pass


def _remember(values, key, value, limit):
    values[key] = value
    while len(values) > limit:
        values.popitem(last=False)


def _find_reason(held):
    if held.catalogue is None:
        return REASON_NOT_DECODED
    problems = validate_catalogue(held.catalogue, f"version {held.version}")
    return problems[0].format() if problems else None


def _follow(held, delta):
    if held.catalogue is None:
        raise DeltaMismatch(f"version {held.version} does not decode")
    return HeldVersion.from_catalogue(apply_delta(held.catalogue, held.digest, delta))
