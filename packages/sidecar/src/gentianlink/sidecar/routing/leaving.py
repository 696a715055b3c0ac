"""Which calls leave their data centre."""

# Round trip between data centres in milliseconds, including the work of two nodes.
FAR_DELAY_MS = 5.0
# Loads of a data centre at which a call surely finds a free slot there, and surely
# none. A target of nine slots that is busy to 0.95 is full about half of the time.
FREE_LOADS = 0.85, 1.15
# The same for calls that leave only for a faster target. The fast targets of a data
# centre serve all of its calls that they can, so a call from elsewhere displaces one of
# these before the fast targets are full.
FASTER_LOADS = 0.6, 0.9


def compute_free_chance(load, is_for_speed):
    """Return the chance that a call finds a slot that no other call would have got.

    Parameters
    ----------
    load : float
        Mean load of the targets of the other data centre.
    is_for_speed : bool
        Whether the call would leave only for a faster target.

    Returns
    -------
    float
        Chance from 0 to 1.
    """
    low, high = FASTER_LOADS if is_for_speed else FREE_LOADS
    return max(0.0, min(1.0, (high - load) / (high - low)))


def compute_gain_ms(near_loss_ms, far_loss_ms, free_chance):
    """Return what it gains on average to send a call to another data centre.

    A call that gets one of the last free slots there displaces one of that data
    centre's own calls, which then loses as much as this one gains. So at a chance of
    one half nothing is gained.

    Parameters
    ----------
    near_loss_ms : float
        Expected loss of the call in its own data centre.
    far_loss_ms : float
        Expected loss in the other one.
    free_chance : float
        Chance that the call finds a free slot in the other one.

    Returns
    -------
    float
        Gain in milliseconds of the objective, without the price of the transfer.
    """
    return (2 * free_chance - 1) * (near_loss_ms - far_loss_ms)


def compute_leave_share(gain_ms, transfer_cost_ms):
    """Return the share of such calls that should leave their data centre.

    The share rises evenly from 0, where the gain equals the price of the transfer, to
    1 at twice the price. A threshold would make all nodes change over at once when
    their estimates cross it.

    Parameters
    ----------
    gain_ms : float
        Gain in milliseconds of the objective.
    transfer_cost_ms : float
        Price of the transfer in the same unit.

    Returns
    -------
    float
        Share from 0 to 1.
    """
    excess_ms = gain_ms - transfer_cost_ms
    if excess_ms <= 0.0:
        return 0.0
    return min(1.0, excess_ms / max(1.0, transfer_cost_ms))
