"""States of a target."""

import enum


class TargetState(enum.Enum):
    """State that a target announces."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    LEFT = "left"
