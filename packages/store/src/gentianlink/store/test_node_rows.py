import asyncio
import random

from gentianlink.core.row import Row
from gentianlink.store.names import NODE_PREFIX
from gentianlink.store.node_rows import (
    MAX_ROWS_READ,
    ROWS_PER_DATA_CENTRE,
    get_row_key,
    read_node_addresses,
    write_node_address,
)


class FakeTable:
    def __init__(self):
        self.rows = {}

    async def transact(self, puts):
        self.rows.update(puts)

    async def scan(self, prefix, after="", limit=1000):
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return [Row(key, 1, self.rows[key]) for key in keys if key > after][:limit]


def write_nodes(table, count):
    for index in range(count):
        name = f"node-{index}"
        asyncio.run(write_node_address(table, f"dc-{index % 19}", name, name))


class TestNodeRows:
    def test_rows_of_a_data_centre_are_bounded(self):
        table = FakeTable()
        for index in range(1000):
            asyncio.run(write_node_address(table, "dc", f"node-{index}", "x"))
        assert len(table.rows) == ROWS_PER_DATA_CENTRE

    def test_new_address_of_a_node_overwrites_its_row(self):
        table = FakeTable()
        asyncio.run(write_node_address(table, "dc", "a", "127.0.0.1:1"))
        asyncio.run(write_node_address(table, "dc", "a", "127.0.0.1:2"))
        assert table.rows == {get_row_key(NODE_PREFIX, "dc", "a"): "127.0.0.1:2"}

    def test_few_rows_are_all_read_from_any_start(self):
        table = FakeTable()
        write_nodes(table, 3)
        for seed in range(20):
            found = asyncio.run(read_node_addresses(table, random.Random(seed)))
            assert set(found) == {"node-0", "node-1", "node-2"}

    def test_bounded_random_sample_of_many_rows_is_read(self):
        table = FakeTable()
        write_nodes(table, 4700)
        samples = {
            asyncio.run(read_node_addresses(table, random.Random(seed)))
            for seed in range(10)
        }
        assert len(samples) > 5
        assert {len(sample) for sample in samples} == {MAX_ROWS_READ}
