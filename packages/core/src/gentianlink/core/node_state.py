"""States of a node."""

import enum


class NodeState(enum.Enum):
    """State of a node in the membership."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEFT = "left"
    DEAD = "dead"
