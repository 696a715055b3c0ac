"""How far a catalogue version is in force."""

import attrs


@attrs.frozen
class DataCentreConvergence:
    """State of one version in one data centre.

    Attributes
    ----------
    nodes : int
        Live nodes.
    in_force : int
        Live nodes that enforce the version or a later one.
    behind : tuple of str
        Names of live nodes that do not, the first ones only.
    refused : dict of str to str
        Reasons of nodes that refused the version, the first ones only.
    """

    nodes: int
    in_force: int
    behind: tuple[str, ...] = ()
    refused: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class Convergence:
    """State of one version over all live nodes.

    Attributes
    ----------
    version : int
        The version.
    data_centres : dict of str to DataCentreConvergence
        State by data centre.
    """

    version: int
    data_centres: dict[str, DataCentreConvergence]

    @property
    def nodes(self):
        """Live nodes."""
        return sum(part.nodes for part in self.data_centres.values())

    @property
    def in_force(self):
        """Live nodes that enforce the version or a later one."""
        return sum(part.in_force for part in self.data_centres.values())

    @property
    def behind(self):
        """Names of live nodes that do not, the first ones of each data centre."""
        return tuple(
            sorted(name for part in self.data_centres.values() for name in part.behind)
        )

    @property
    def is_complete(self):
        """Whether every live node enforces the version or a later one."""
        return self.nodes > 0 and self.in_force == self.nodes
