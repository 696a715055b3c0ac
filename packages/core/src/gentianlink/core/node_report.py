"""What a node reports about the versions that it enforces and refused."""

import attrs


@attrs.frozen
class NodeReport:
    """Report of one node.

    Attributes
    ----------
    node_id : str
        Name of the node.
    incarnation : int
        Incarnation of the node.
    version : int
        Version in force.
    refused : dict of int to str
        Reasons for which versions were refused.
    """

    node_id: str
    incarnation: int
    version: int
    refused: dict[int, str] = attrs.field(factory=dict)
