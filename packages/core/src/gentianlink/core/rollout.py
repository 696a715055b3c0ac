"""A roll-out: moving the calls of a service to a new version of its targets."""

import enum

import attrs


class RolloutPhase(enum.Enum):
    """Phases of a roll-out."""

    RUNNING = "running"
    # Targets of the former version accept no new calls and finish those in flight.
    CLOSING = "closing"
    DONE = "done"
    ROLLED_BACK = "rolled-back"


@attrs.frozen
class RolloutOrder:
    """Order of an operator to move a service to a version.

    Attributes
    ----------
    service : str
        Name of the service.
    version : str
        Version of the targets that calls are moved to.
    duration_ms : float
        Time in milliseconds in which the roll-out has to end.
    revision : int
        Revision of the order's row; a later order has a higher one.
    """

    service: str
    version: str
    duration_ms: float
    revision: int


@attrs.frozen
class RolloutState:
    """State of a roll-out as nodes pass it on.

    Attributes
    ----------
    service : str
        Name of the service.
    version : str
        Version of the targets that calls are moved to.
    revision : int
        Revision of the order's row.
    step : int
        Number of the transition within the roll-out; the higher one is newer.
    share : float
        Share of the service's calls that the version gets, from 0 to 1.
    phase : RolloutPhase
        Phase of the roll-out.
    started_ms : int
        Time in milliseconds since the epoch at which a node first saw the order.
    duration_ms : float
        Time in milliseconds after that by which the roll-out has to end.
    """

    service: str
    version: str
    revision: int
    step: int = 0
    share: float = 0.0
    phase: RolloutPhase = RolloutPhase.RUNNING
    started_ms: int = 0
    duration_ms: float = 0.0

    @property
    def is_ended(self):
        """Whether the roll-out has come to its end, good or bad."""
        return self.phase in (RolloutPhase.DONE, RolloutPhase.ROLLED_BACK)

    @property
    def order(self):
        """Revision and step; of two states the one with the higher pair is newer."""
        return self.revision, self.step
