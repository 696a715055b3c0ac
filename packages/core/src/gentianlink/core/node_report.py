"""Report of the catalogue versions that a node enforces and refused."""

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
        Version in force at the node.
    refused : dict of int to str
        Reasons for refusing versions, by version.
    """

    node_id: str
    incarnation: int
    version: int
    refused: dict[int, str] = attrs.field(factory=dict)
