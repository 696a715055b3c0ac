"""Age of the oldest announced version that is missing."""

from gentianlink.sidecar.version_lag import VersionLag


class TestVersionLag:
    def test_nothing_is_missing_at_the_newest_version(self):
        lag = VersionLag()
        lag.update(4, 4, 1000.0)
        assert lag.compute_ms(5000.0) == 0.0

    def test_newer_announcements_do_not_restart_the_age(self):
        lag = VersionLag()
        for step in range(20):
            lag.update(5 + step, 4, 1000.0 + 100.0 * step)
        assert lag.compute_ms(3000.0) == 2000.0

    def test_age_restarts_once_the_awaited_version_is_in_force(self):
        lag = VersionLag()
        lag.update(5, 4, 1000.0)
        lag.update(7, 5, 1200.0)
        assert lag.compute_ms(1300.0) == 100.0
        lag.update(7, 7, 1400.0)
        assert lag.compute_ms(1500.0) == 0.0
