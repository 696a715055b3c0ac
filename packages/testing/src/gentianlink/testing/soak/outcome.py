"""What a run of one deployment gave."""

import attrs

from gentianlink.testing.soak.observations import Observations


@attrs.frozen
class Outcome:
    """Everything that the checks read.

    Attributes
    ----------
    observations : Observations
        What was seen from outside.
    executions : list of ExecutionRecord
        What the targets saw.
    changes : list of Change
        The audit trail.
    accepted : list of Change
        What operators were told.
    """

    observations: Observations
    executions: list
    changes: list
    accepted: list
