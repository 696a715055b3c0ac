"""Convergence of the fleet on a catalogue version."""

import attrs


@attrs.frozen
class DataCentreConvergence:
    """Convergence on one version in one data centre.

    Attributes
    ----------
    nodes : int
        Number of live nodes.
    in_force : int
        Number of live nodes that enforce the version or a later one.
    behind : tuple of str
        Names of live nodes that have not converged; truncated.
    refused : dict of str to str
        Reasons of nodes that refused the version, by node name; truncated.
    """

    nodes: int
    in_force: int
    behind: tuple[str, ...] = ()
    refused: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class Convergence:
    """Convergence on one version over all live nodes.

    Attributes
    ----------
    version : int
        Catalogue version.
    data_centres : dict of str to DataCentreConvergence
        Convergence by data centre.
    """

    version: int
    data_centres: dict[str, DataCentreConvergence]

    @property
    def nodes(self):
        """Number of live nodes."""
        return sum(centre.nodes for centre in self.data_centres.values())

    @property
    def in_force(self):
        """Number of live nodes that enforce the version or a later one."""
        return sum(centre.in_force for centre in self.data_centres.values())

    @property
    def behind(self):
        """Names of live nodes that have not converged; truncated per data centre."""
        return tuple(
            sorted(
                name for centre in self.data_centres.values() for name in centre.behind
            )
        )

    @property
    def is_complete(self):
        """Whether every live node enforces the version or a later one."""
        return self.nodes > 0 and self.in_force == self.nodes
