"""Result of the run of one deployment."""

import attrs

from gentianlink.testing.soak.observations import Observations


@attrs.frozen
class SoakResult:
    """Input of the checks for one deployment.

    Attributes
    ----------
    observations : Observations
        Observations from outside the nodes.
    executions : list of ExecutionRecord
        Executions observed at the targets.
    changes : list of Change
        The audit trail.
    accepted : list of Change
        Changes whose acceptance was confirmed to an operator.
    """

    observations: Observations
    executions: list
    changes: list
    accepted: list
