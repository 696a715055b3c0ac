"""State of a node as its admin port reports it."""

import attrs

from gentianlink.tools.fleet_node import FleetNode


@attrs.frozen
class NodeView:
    """State of one node; the defaults are those of a node that does not answer.

    Attributes
    ----------
    node : FleetNode
        The node.
    is_reached : bool
        Whether the admin port answered.
    is_ready : bool
        Whether the node serves calls.
    version : int
        Version in force; 0 if the admin port did not answer.
    applied_ms : dict of int to int
        When versions came into force on the node, in milliseconds since the epoch.
    refused : dict of int to str
        Reasons why the node refused versions, by version.
    platform_failure : str
        Why the node's last read of the platform failed; empty if it did not.
    """

    node: FleetNode
    is_reached: bool = False
    is_ready: bool = False
    version: int = 0
    applied_ms: dict[int, int] = attrs.field(factory=dict)
    refused: dict[int, str] = attrs.field(factory=dict)
    platform_failure: str = ""

    def explain_delay(self, version):
        """Return why the node does not serve calls with a version; empty if it does.

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
