import json

import pytest
import structlog

from gentianlink.core.settings import LogSettings
from gentianlink.node.log import configure_logs, get_logger


class TestLog:
    @pytest.fixture(autouse=True)
    def reset_logs(self):
        yield
        structlog.reset_defaults()

    def test_json(self, capsys):
        log = get_logger("mesh")
        configure_logs(LogSettings())
        log.info("link opened", peer="n2")
        log.debug("not written")
        line = json.loads(capsys.readouterr().err)
        assert line.pop("timestamp").endswith("Z")
        assert line == {
            "part": "mesh",
            "event": "link opened",
            "level": "info",
            "peer": "n2",
        }

    def test_console(self, capsys):
        log = get_logger("mesh")
        configure_logs(LogSettings(level="warning", format="console"))
        log.info("not written")
        log.warning("link lost", peer="n2")
        line = capsys.readouterr().err
        assert line.split(" ", 1)[1] == "warning mesh: link lost peer='n2'\n"

    def test_existing_loggers_follow_new_settings(self, capsys):
        log = get_logger("mesh")
        configure_logs(LogSettings(level="error"))
        log.info("not written")
        configure_logs(LogSettings(level="debug", format="console"))
        log.debug("written")
        assert capsys.readouterr().err.endswith("debug   mesh: written\n")
