"""States of a node."""

import enum


class NodeState(enum.Enum):
    """State of a node as membership sees it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEFT = "left"
    DEAD = "dead"
