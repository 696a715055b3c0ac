"""Messages about tokens between nodes.

A datagram carries a list of messages, each a list that begins with its tag. They are
positional and short, because their bytes count against the limit for control traffic.
"""

import attrs

from gentianlink.sidecar.tenants.owner_window import PROFILE_STEPS, Profile

ASK, ANSWER, REDIRECT, SETTLE, CREDIT, STATE, PROBE, ECHO = range(8)
MAX_COUNT = 1_000_000


@attrs.frozen
class Ask:
    """Request of tokens from the owner of a tenant.

    Attributes
    ----------
    number : int
        Number of the request at the node that asks; a repetition has the same.
    tenant : str
        Name of the tenant.
    need : int
        Tokens for calls that wait.
    ahead : int
        Tokens for expected calls. Tokens of a request with none live shorter.
    via : tuple of str
        Nodes of higher rank that have sent the request on as they do not lease yet.
    """

    number: int
    tenant: str
    need: int
    ahead: int = 0
    via: tuple[str, ...] = ()


@attrs.frozen
class Answer:
    """Tokens that the owner has leased, or when there will be some.

    Attributes
    ----------
    number : int
        Number of the request.
    count : int
        Tokens leased.
    retry_ms : int
        Time in milliseconds until there are more, 0 if the need is met; negative if
        the tenant is unknown to the owner.
    """

    number: int
    count: int
    retry_ms: int


@attrs.frozen
class Redirect:
    """Answer of a node that is not the owner in its own view.

    Attributes
    ----------
    number : int
        Number of the request.
    owner : str
        Name of the node to ask.
    is_starting : bool
        Whether the node that answers is the owner but does not lease yet.
    """

    number: int
    owner: str
    is_starting: bool


@attrs.frozen
class Settle:
    """End of a lease before its time.

    Attributes
    ----------
    number : int
        Number of the request that got the lease.
    unspent : int
        Tokens that were not spent.
    age_ms : int
        Time in milliseconds from the request to the last spent token.
    """

    number: int
    unspent: int
    age_ms: int


@attrs.frozen
class Credit:
    """Tokens of calls that no target has run, after the end of their lease.

    Attributes
    ----------
    number : int
        Number of the message.
    tenant : str
        Name of the tenant.
    count : int
        Number of tokens.
    """

    number: int
    tenant: str
    count: int


@attrs.frozen
class State:
    """Window of a tenant as its owner described it.

    Attributes
    ----------
    tenant : str
        Name of the tenant.
    profile : Profile
        The window; its time is on the clock of the node that holds it.
    """

    tenant: str
    profile: Profile


@attrs.frozen
class Probe:
    """Asks for an echo."""


@attrs.frozen
class Echo:
    """Answers a probe; any other message shows as well that a node is reachable."""


def encode_message(message, now_ms):
    """Return a message as a list for a datagram.

    Parameters
    ----------
    message : Ask, Answer, Redirect, Settle, Credit, State, Probe or Echo
        The message.
    now_ms : float
        Present time on the monotonic clock in milliseconds; the age of a state is sent.
    """
    match message:
        case Ask(number, tenant, need, ahead, via):
            fields = [ASK, number, tenant, need]
            return fields + ([ahead, *via] if via else [ahead] if ahead else [])
        case Answer(number, count, retry_ms):
            return [ANSWER, number, count] + ([retry_ms] if retry_ms else [])
        case Redirect(number, owner, is_starting):
            return [REDIRECT, number, owner, int(is_starting)]
        case Settle(number, unspent, age_ms):
            return [SETTLE, number, unspent, age_ms]
        case Credit(number, tenant, count):
            return [CREDIT, number, tenant, count]
        case Probe():
            return [PROBE]
        case Echo():
            return [ECHO]
    profile = message.profile
    age_ms = round(now_ms - profile.issued_ms)
    counts = [round(count) for count in profile.counts]
    share = round(profile.share, 3)
    step_ms = round(profile.step_ms)
    return [STATE, message.tenant, profile.issuer, age_ms, share, step_ms, counts]


def decode_message(fields, now_ms):
    """Return the message of a list, with every field checked.

    Parameters
    ----------
    fields : list
        Output of :func:`encode_message`.
    now_ms : float
        Present time on the monotonic clock in milliseconds.

    Raises
    ------
    ValueError or TypeError
        If the list is malformed.
    """
    if not isinstance(fields, list) or not fields:
        raise TypeError("message about tokens is not a list")
    tag, *rest = fields
    if tag == ASK and len(rest) >= 3:
        number, tenant, need, *more = rest
        ahead, *via = more or [0]
        return Ask(
            _check_int(number),
            _check_name(tenant),
            _check_count(need),
            _check_count(ahead),
            tuple(_check_name(name) for name in via),
        )
    if tag == ANSWER and len(rest) in (2, 3):
        number, count, *more = rest
        retry_ms = _check_int(more[0]) if more else 0
        return Answer(_check_int(number), _check_count(count), retry_ms)
    if tag == REDIRECT and len(rest) == 3:
        return Redirect(_check_int(rest[0]), _check_name(rest[1]), bool(rest[2]))
    if tag == SETTLE and len(rest) == 3:
        return Settle(_check_int(rest[0]), *map(_check_count, rest[1:]))
    if tag == CREDIT and len(rest) == 3:
        return Credit(_check_int(rest[0]), _check_name(rest[1]), _check_count(rest[2]))
    if tag == STATE and len(rest) == 6:
        return _decode_state(rest, now_ms)
    if tag in (PROBE, ECHO) and not rest:
        return Probe() if tag == PROBE else Echo()
    raise ValueError(f"message about tokens with tag {tag!r}, {len(rest)} fields")


def _decode_state(fields, now_ms):
    tenant, issuer, age_ms, share, step_ms, counts = fields
    if not isinstance(share, int | float) or not 0 < share <= 1:
        raise ValueError(f"share {share!r}")
    if not isinstance(counts, list) or len(counts) != PROFILE_STEPS:
        raise ValueError("window with a wrong number of steps")
    if _check_count(step_ms) == 0:
        raise ValueError("window without length")
    issued_ms = now_ms - _check_count(age_ms)
    numbers = tuple(float(_check_count(count)) for count in counts)
    profile = Profile(_check_name(issuer), issued_ms, float(share), numbers, step_ms)
    return State(_check_name(tenant), profile)


def _check_int(value):
    if type(value) is not int:
        raise TypeError(f"{value!r} is not a whole number")
    return value


def _check_count(value):
    if not 0 <= _check_int(value) <= MAX_COUNT:
        raise ValueError(f"{value} is out of range")
    return value


def _check_name(value):
    if not (isinstance(value, str) and value):
        raise TypeError(f"{value!r} is not a name")
    return value
