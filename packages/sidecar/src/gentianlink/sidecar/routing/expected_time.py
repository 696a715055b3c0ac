"""Expected loss of a call's value from the time that a target is expected to take."""

import math

import attrs

# Standard deviation of the logarithm of execution times.
SPREAD = 0.5
# Share of its value that a late answer loses; deployments have 0.5 to 0.7.
LATE_LOSS = 0.6
# Share of the latency objective that a call of unknown work is assumed to take. The
# objectives of the known deployments are about three times the mean work.
UNKNOWN_WORK_SHARE = 1 / 3


@attrs.frozen
class CallObjective:
    """What the choice of a target needs to know of a call.

    Attributes
    ----------
    rule_name : str
        Name of the rule.
    left_ms : float
        Time in milliseconds that is left of the latency objective.
    whole_ms : float
        Latency objective in milliseconds.
    """

    rule_name: str
    left_ms: float
    whole_ms: float


def compute_loss_ms(objective, work_ms, delay_ms):
    """Return the expected loss of a call, in milliseconds of its objective.

    An answer within the objective loses nothing; the loss of the whole value counts as
    the whole objective. So a loss can be compared with the price of a transfer.

    Parameters
    ----------
    objective : CallObjective
        Rule and latency objective of the call.
    work_ms : float
        Typical execution time in milliseconds at the target, 0 if unknown.
    delay_ms : float
        Expected wait and transfer in milliseconds.

    Returns
    -------
    float
        Loss in milliseconds, from 0 to :data:`LATE_LOSS` of the objective.
    """
    left_ms = objective.left_ms - delay_ms
    if left_ms <= 0.0:
        return LATE_LOSS * objective.whole_ms
    work_ms = work_ms or UNKNOWN_WORK_SHARE * objective.whole_ms
    deviations = math.log(left_ms / work_ms) / SPREAD
    late_share = 0.5 * math.erfc(deviations / math.sqrt(2))
    return LATE_LOSS * late_share * objective.whole_ms
