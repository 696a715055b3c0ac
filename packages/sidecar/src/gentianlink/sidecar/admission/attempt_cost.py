"""Time that another attempt of a refused call takes on narrow links."""

BITS_PER_BYTE = 8
# Start line and headers of a forwarded call, and those of the refusal.
HEAD_BYTES = 900
# The call crosses the link of its sender and that of the node beside the target.
LINKS = 2
# A target that has refused a call is seldom the only one that is full: this number of
# attempts follows on average where targets of a service are nearly full.
ATTEMPTS = 2


def compute_attempts_ms(body_bytes, link_mbps):
    """Estimate the time that further attempts of a call take.

    Waiting at a full target for less than this is better than to be refused, and loads
    the links of the nodes less.

    Parameters
    ----------
    body_bytes : int
        Size of the call's body in bytes, 0 if it is streamed.
    link_mbps : float
        Bandwidth of this node's link in megabits per second, 0 if unknown.

    Returns
    -------
    float
        Time in milliseconds; well below 1 on links of 1,000 Mbit/s.
    """
    if link_mbps <= 0:
        return 0.0
    transfer_ms = (HEAD_BYTES + body_bytes) * BITS_PER_BYTE / (link_mbps * 1000)
    return ATTEMPTS * LINKS * transfer_ms
