import asyncio

from gentianlink.store.admin_rows import read_admin_rows, write_admin_address
from gentianlink.testing.fake_platform import FakeTableClient


class TestAdminRows:
    def test_latest_address_of_each_row_is_read(self):
        async def run():
            table = FakeTableClient()
            await write_admin_address(table, "k-1", "n1", "127.0.0.1:7002")
            await write_admin_address(table, "k-1", "n1", "127.0.0.1:7003")
            await write_admin_address(table, "k-2", "n1", "127.0.0.2:7002")
            return [row.value for row in await read_admin_rows(table)]

        assert asyncio.run(run()) == ["127.0.0.1:7003", "127.0.0.2:7002"]
