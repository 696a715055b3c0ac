"""The catalogue version in force at this node."""

import asyncio

from gentianlink.core.errors import CodecError
from gentianlink.node.log import get_logger
from gentianlink.platform.catalogue_codec import decode_rule_set
from gentianlink.sidecar.rule_change import (
    EMPTY_RULES,
    apply_change,
    compute_change,
    share_rules,
)
from gentianlink.sidecar.rule_codec import decode_change, encode_change

_LOG = get_logger("catalogue")

# Versions kept to tell other nodes what has changed since; a node that is further
# behind gets the whole version.
KEPT_VERSIONS = 8


class RuleHolder:
    """The newest version that this node has taken; it never goes back."""

    def __init__(self):
        self._rules = None
        self._former = {EMPTY_RULES.version: EMPTY_RULES}
        self._changes = {}
        self._refused = 0
        self._newer = asyncio.Event()

    @property
    def rules(self):
        """Version in force, None before the first one."""
        return self._rules

    @property
    def version(self):
        """Number of the version in force, 0 before the first one."""
        return 0 if self._rules is None else self._rules.version

    @property
    def refused(self):
        """Number of versions that could not be read."""
        return self._refused

    def take(self, data, source):
        """Take a version whole if it is newer and can be read.

        Parameters
        ----------
        data : bytes
            The version as the operator wrote it.
        source : str
            Where it came from, for the log.

        Returns
        -------
        bool
            Whether it is in force now.
        """
        try:
            rules = decode_rule_set(data)
        except CodecError as error:
            return self._refuse(source, str(error))
        if rules.version <= self.version:
            return False
        self._put_in_force(share_rules(self._rules or EMPTY_RULES, rules), source)
        return True

    def take_change(self, data, source):
        """Take the change to a newer version that another node has in force.

        Parameters
        ----------
        data : bytes
            Output of :meth:`encode_since` at the other node.
        source : str
            Where it came from, for the log.

        Returns
        -------
        bool
            Whether the newer version is in force now.
        """
        try:
            change = decode_change(data)
        except CodecError as error:
            return self._refuse(source, str(error))
        if change.version <= self.version:
            return False
        base = self._former.get(change.base)
        if base is None:
            return self._refuse(source, f"change to version {change.base}, not held")
        self._put_in_force(apply_change(base, change), source)
        return True

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
        self._changes.clear()
        self._former[rules.version] = rules
        # The version without rules stays, as the base for nodes that have none.
        while len(self._former) > KEPT_VERSIONS + 1:
            del self._former[min(version for version in self._former if version)]
        self._newer.set()
        self._newer = asyncio.Event()

    def encode_since(self, version):
        """Return what a node with an older version needs to have this one.

        Parameters
        ----------
        version : int
            Version in force at the other node.

        Returns
        -------
        bytes
            Encoded change, empty if the other node has nothing to learn here.
        """
        if version >= self.version:
            return b""
        base = self._former.get(version, EMPTY_RULES)
        if base.version not in self._changes:
            change = compute_change(base, self._rules)
            self._changes[base.version] = encode_change(change)
        return self._changes[base.version]

    async def wait_for_newer(self, version, wait_s):
        """Wait until a version newer than a given one is in force.

        Parameters
        ----------
        version : int
            The given version.
        wait_s : float
            Longest wait in seconds.

        Returns
        -------
        bool
            Whether there is a newer one.
        """
        if self.version > version:
            return True
        try:
            async with asyncio.timeout(wait_s):
                while self.version <= version:
                    await self._newer.wait()
        except TimeoutError:
            return False
        return True


def find_rule(rules, host, path):
    """Return the rule of a call: of its host, the one with the longest prefix.

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
