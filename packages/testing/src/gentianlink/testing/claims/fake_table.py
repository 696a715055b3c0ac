"""Stand-in of the table service for one node of a simulation."""

from gentianlink.core.errors import WriteConflict
from gentianlink.core.row import Row


class FakeTable:
    """Table client of one node whose operations the schedule orders."""

    def __init__(self, world, node_id):
        self._world = world
        self._node_id = node_id

    async def read(self, key):
        """Read a row."""

        def perform():
            return Row(key, *self._world.table.read(key))

        return await self._world.wait(self._node_id, "read", perform)

    async def transact(self, puts, checks=()):
        """Write rows if the rows of `checks` still have their revisions."""

        def perform():
            pairs = [(row.key, row.revision) for row in checks]
            conflict, revision = self._world.table.transact(pairs, puts)
            if conflict is not None:
                raise WriteConflict(*conflict)
            return revision

        return await self._world.wait(self._node_id, "write", perform)
