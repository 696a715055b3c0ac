import socket

from gentianlink.sidecar.early_listen import listen_early
from gentianlink.testing.loopback import get_own_address, get_ports


class TestEarlyListen:
    def test_callers_can_connect_before_the_process_serves(self, tmp_path):
        host, port = get_own_address(240), get_ports(1)[0]
        path = tmp_path / "node.ini"
        path.write_text(f"[listen]\ncalls = {host}:{port}\nready = {host}:1\n")
        listener = listen_early(str(path))
        caller = socket.create_connection((host, port), 1)
        caller.close()
        listener.close()

    def test_unusable_settings_are_left_for_the_usual_start_to_report(self, tmp_path):
        path = tmp_path / "node.ini"
        path.write_text("[listen]\ncalls = nowhere\n")
        assert listen_early(str(path)) is None
        assert listen_early(str(tmp_path / "missing.ini")) is None

    def test_address_in_use_is_left_for_the_usual_start_to_report(self, tmp_path):
        host, port = get_own_address(240), get_ports(1)[0]
        path = tmp_path / "node.ini"
        path.write_text(f"[listen]\ncalls = {host}:{port}\n")
        listener = listen_early(str(path))
        assert listen_early(str(path)) is None
        listener.close()
