"""An entry of the catalogue: one kind of work on a service."""

import attrs

from gentianlink.core.limits import Limits
from gentianlink.core.work_class import WorkClass


@attrs.frozen
class Entry:
    """One kind of work, with its route, class and limits.

    Attributes
    ----------
    name : str
        Name of the entry.
    owner : str
        Team responsible for the entry.
    service : str
        Service whose targets execute the work.
    work_class : WorkClass
        Class of work; determines whether a call may be retried.
    route : str
        Path prefix that calls must match.
    limits : Limits
        Limits that nodes enforce on the calls.
    prefer : tuple of str
        Preferred data centres, in order; empty for the caller's own.
    """

    name: str
    owner: str
    service: str
    work_class: WorkClass
    route: str
    limits: Limits = attrs.field(factory=Limits)
    prefer: tuple[str, ...] = ()
