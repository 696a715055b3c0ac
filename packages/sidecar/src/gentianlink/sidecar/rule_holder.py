"""Catalogue version in force at this node, and rule look-up."""

import asyncio

from gentianlink.core.errors import CodecError
from gentianlink.node.log import get_logger
from gentianlink.platform.catalogue_codec import decode_rule_set
from gentianlink.sidecar.exchange.peer_codec import FORM_VERSIONS
from gentianlink.sidecar.rule_codec import decode_delta, encode_delta
from gentianlink.sidecar.rule_delta import (
    EMPTY_RULES,
    apply_delta,
    compute_delta,
    share_rules,
)

_LOG = get_logger("catalogue")

# Versions kept as bases for deltas to other nodes; a node that is further behind gets
# the whole version.
KEPT_VERSIONS = 8


class RuleHolder:
    """Holds the newest version that this node has received, and never an older one."""

    def __init__(self):
        self._rules = None
        self._kept = {EMPTY_RULES.version: EMPTY_RULES}
        self._encoded_deltas = {}
        self._refused = 0
        self._unknown_kinds = 0
        self._version_changed = asyncio.Event()

    @property
    def rules(self):
        """Version in force; None before the first one."""
        return self._rules

    @property
    def version(self):
        """Number of the version in force; 0 before the first one."""
        return 0 if self._rules is None else self._rules.version

    @property
    def refused(self):
        """Number of versions and deltas that could not be decoded or applied."""
        return self._refused

    @property
    def unknown_kinds(self):
        """Number of unknown kinds of rules in the last version from the table."""
        return self._unknown_kinds

    def install_version(self, data, source):
        """Put a version in force if it is valid and newer.

        Parameters
        ----------
        data : bytes
            The version as the operator wrote it.
        source : str
            Source of the version, for the log.

        Returns
        -------
        bool
            Whether the version was put in force.
        """
        try:
            rules = decode_rule_set(data)
        except CodecError as error:
            return self._refuse(source, str(error))
        if rules.version <= self.version:
            return False
        self._note_unknown_kinds(rules)
        self._put_in_force(share_rules(self._rules or EMPTY_RULES, rules), source)
        return True

    def install_delta(self, data, source):
        """Apply a delta from another node and put its version in force if it is newer.

        Parameters
        ----------
        data : bytes
            Output of :meth:`encode_since` at the other node.
        source : str
            Source of the version, for the log.

        Returns
        -------
        bool
            Whether the version was put in force.
        """
        try:
            delta = decode_delta(data)
        except CodecError as error:
            return self._refuse(source, str(error))
        if delta.version <= self.version:
            return False
        base = self._kept.get(delta.base)
        if base is None:
            return self._refuse(source, f"delta on unknown version {delta.base}")
        self._put_in_force(apply_delta(base, delta), source)
        return True

    def _note_unknown_kinds(self, rules):
        self._unknown_kinds = len(rules.unknown_kinds)
        if rules.unknown_kinds:
            _LOG.warning(
                "kinds of rules unknown; their calls are executed at most once",
                version=rules.version,
                kinds=list(rules.unknown_kinds),
            )

    def _refuse(self, source, why):
        self._refused += 1
        _LOG.error("version refused", source=source, why=why, kept=self.version)
        return False

    def _put_in_force(self, rules, source):
        _LOG.info(
            "version in force",
            version=rules.version,
            before=self.version,
            source=source,
        )
        self._rules = rules
        self._encoded_deltas.clear()
        self._kept[rules.version] = rules
        # The empty version stays, as the base for nodes that have none.
        while len(self._kept) > KEPT_VERSIONS + 1:
            del self._kept[min(version for version in self._kept if version)]
        self._version_changed.set()
        self._version_changed = asyncio.Event()

    def encode_since(self, version, form=FORM_VERSIONS):
        """Return the encoded delta from a version to the version in force.

        Parameters
        ----------
        version : int
            Version in force at the other node.
        form : int, optional
            Form of messages that the other node accepts.

        Returns
        -------
        bytes
            Encoded delta; empty if the other node's version is not older. If a version
            is no longer kept, the delta is based on the empty version.
        """
        if version >= self.version:
            return b""
        base = self._kept.get(version, EMPTY_RULES)
        key = base.version, form
        if key not in self._encoded_deltas:
            delta = compute_delta(base, self._rules)
            self._encoded_deltas[key] = encode_delta(delta, form)
        return self._encoded_deltas[key]

    async def wait_for_newer(self, version, wait_s):
        """Wait until a version newer than a given one is in force.

        Parameters
        ----------
        version : int
            Number of the version.
        wait_s : float
            Longest wait in seconds.

        Returns
        -------
        bool
            Whether a newer one is in force.
        """
        if self.version > version:
            return True
        try:
            async with asyncio.timeout(wait_s):
                while self.version <= version:
                    await self._version_changed.wait()
        except TimeoutError:
            return False
        return True


def find_rule(rules, host, path):
    """Return the rule of the host with the longest prefix that matches the path.

    Parameters
    ----------
    rules : RuleSet
        Version in force.
    host : str
        Value of the host header.
    path : str
        Path without the query.

    Returns
    -------
    Rule or None
        None if no rule matches.
    """
    name = host.partition(":")[0].lower()
    end = path.rfind("/") + 1
    while end:
        rule = rules.rules.get((name, path[:end]))
        if rule is not None:
            return rule
        end = path.rfind("/", 0, end - 1) + 1
    return None
