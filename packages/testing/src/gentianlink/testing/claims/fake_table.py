"""The table service as one node of a world sees it."""

from gentianlink.core.errors import WriteConflict
from gentianlink.platform.row import Row


class FakeTable:
    """The table service as one node sees it."""

    def __init__(self, world, node_id):
        self._world = world
        self._node_id = node_id

    async def read(self, key):
        """Read a row."""

        def perform():
            return Row(key, *self._world.table.read(key))

        return await self._world.wait(self._node_id, "read", perform)

    async def transact(self, puts, checks=()):
        """Write rows if the checked ones are still at their revisions."""

        def perform():
            pairs = [(row.key, row.revision) for row in checks]
            conflict, revision = self._world.table.transact(pairs, puts)
            if conflict is not None:
                raise WriteConflict(*conflict)
            return revision

        return await self._world.wait(self._node_id, "write", perform)
