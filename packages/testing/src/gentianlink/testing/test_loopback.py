from gentianlink.testing.loopback import get_loopback_address, get_ports


class TestLoopback:
    def test_each_process_has_a_distinct_address(self):
        assert get_loopback_address(1, 1) == "127.1.2.1"
        assert get_loopback_address(251, 1) == "127.2.2.1"
        addresses = {get_loopback_address(number, 1) for number in range(62_500)}
        assert len(addresses) == 62_500

    def test_ports_are_allocated_once(self):
        assert len({*get_ports(100), *get_ports(100)}) == 200
