"""In-memory platform clients with fault injection by call number."""

import enum

from gentianlink.core.errors import (
    ObjectNotFound,
    PlatformOutcomeUnknown,
    PlatformUnavailable,
    WriteConflict,
)
from gentianlink.core.row import Row
from gentianlink.testing.table_state import TableState


class FakeFault(enum.Enum):
    """Fault of one call of a fake client.

    `REFUSED` and `REQUEST_LOST` have no effect on the platform, `ANSWER_LOST` takes
    effect at once, and `DELAYED` takes effect in `FaultPlan.apply_delayed`.
    """

    REFUSED = "refused"
    REQUEST_LOST = "request lost"
    ANSWER_LOST = "answer lost"
    DELAYED = "delayed"


class FaultPlan:
    """Injects faults by call number; clients that share a plan share its count.

    Parameters
    ----------
    faults : dict of int to FakeFault, optional
        Faults by call number, which starts at 1.
    """

    def __init__(self, faults=None):
        self.faults = dict(faults or {})
        self.calls = 0
        self.delayed = []

    def run(self, effect):
        """Run one call, with the fault planned for its number.

        Parameters
        ----------
        effect : callable
            Function without arguments that does the work of the call.

        Returns
        -------
        object
            Result of `effect`.

        Raises
        ------
        PlatformUnavailable
            If the fault is `REFUSED`.
        PlatformOutcomeUnknown
            If the request or the answer is lost or delayed.
        """
        self.calls += 1
        fault = self.faults.get(self.calls)
        if fault is FakeFault.REFUSED:
            raise PlatformUnavailable("refused")
        if fault is FakeFault.REQUEST_LOST:
            raise PlatformOutcomeUnknown("request lost")
        if fault is FakeFault.DELAYED:
            self.delayed.append(effect)
            raise PlatformOutcomeUnknown("delayed")
        result = effect()
        if fault is FakeFault.ANSWER_LOST:
            raise PlatformOutcomeUnknown("answer lost")
        return result

    def apply_delayed(self):
        """Let the delayed calls take effect now; those that conflict have no effect."""
        for effect in self.delayed:
            try:
                effect()
            except WriteConflict:
                continue
        self.delayed.clear()


class FakeTableClient:
    """Table client on rows in memory.

    Parameters
    ----------
    state : TableState
        Rows; clients may share them.
    plan : FaultPlan
        Faults of the calls; clients may share the plan.
    """

    def __init__(self, state=None, plan=None):
        self.state = state or TableState()
        self.plan = plan or FaultPlan()

    async def read(self, key):
        """Read one row."""
        return self.plan.run(lambda: Row(key, *self.state.read(key)))

    async def scan(self, prefix, after="", limit=1000):
        """Read the rows whose keys start with a prefix, in the order of keys."""
        return self.plan.run(
            lambda: [Row(*row) for row in self.state.scan(prefix, after, limit)]
        )

    async def transact(self, puts, checks=()):
        """Write rows if every row in `checks` still has its revision."""
        return self.plan.run(lambda: self._transact(puts, checks))

    def _transact(self, puts, checks):
        pairs = [(row.key, row.revision) for row in checks]
        conflict, revision = self.state.transact(pairs, puts)
        if conflict is not None:
            raise WriteConflict(*conflict)
        return revision


class FakeObjectClient:
    """Object client on objects in memory.

    Parameters
    ----------
    state : dict of str to bytes
        Objects by name; clients may share them.
    plan : FaultPlan
        Faults of the calls; clients may share the plan.
    """

    def __init__(self, state=None, plan=None):
        self.state = {} if state is None else state
        self.plan = plan or FaultPlan()

    async def get(self, name):
        """Read an object."""
        return self.plan.run(lambda: self._get(name))

    def _get(self, name):
        if name not in self.state:
            raise ObjectNotFound(name)
        return self.state[name]

    async def put(self, name, data):
        """Write an object."""
        return self.plan.run(lambda: self.state.__setitem__(name, data))
