"""What one node says of itself, or that it does not answer."""

import attrs

from gentianlink.tools.fleet_node import FleetNode


@attrs.frozen
class NodeView:
    """State of one node as the command line sees it.

    Attributes
    ----------
    node : FleetNode
        The node.
    is_reached : bool
        Whether it answered.
    is_ready : bool
        Whether it serves calls.
    version : int
        Version in force; 0 if it did not answer.
    applied_ms : dict of int to int
        When versions came into force there, in milliseconds since the epoch.
    refused : dict of int to str
        Versions that it refused, and why.
    platform_failure : str
        Why its last read of the platform failed; empty if it did not.
    """

    node: FleetNode
    is_reached: bool = False
    is_ready: bool = False
    version: int = 0
    applied_ms: dict[int, int] = attrs.field(factory=dict)
    refused: dict[int, str] = attrs.field(factory=dict)
    platform_failure: str = ""

    def explain_delay(self, version):
        """Return why a version is not in force there; empty if it is.

        Parameters
        ----------
        version : int
            The version.

        Returns
        -------
        str
            The reason.
        """
        if not self.is_reached:
            return "its admin port does not answer"
        if self.version >= version:
            return "" if self.is_ready else "not ready to serve"
        if version in self.refused:
            return f"refused: {self.refused[version]}"
        if self.platform_failure:
            return (
                f"no version heard; its platform read failed: {self.platform_failure}"
            )
        return "no later version heard yet"
