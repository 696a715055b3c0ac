import pathlib
import re
import shlex

import pytest

from gentianlink.core.reason import Reason
from gentianlink.testing.command_page import PATH, format_page, get_commands

ROOT = pathlib.Path(__file__).parents[5]
PAGES = sorted([ROOT / "README.md", *(ROOT / "docs").rglob("*.md")])
NAMES = [str(path.relative_to(ROOT)) for path in PAGES]
LINK = re.compile(r"\]\(([^)#]+)")
COMMAND = re.compile(r"(?:^ {4}|`)(gentianlink [^`\n]*)", re.MULTILINE)


def find_command(words):
    commands = get_commands()
    for count in (3, 2):
        command = commands.get(" ".join(words[:count]))
        if command is not None:
            return command
    return None


def find_unknown_options(command, words):
    defined = {name for item in command.params for name in item.opts} | {"--help"}
    given = [word.partition("=")[0] for word in words if word.startswith("--")]
    return [name for name in given if name not in defined]


class TestDocs:
    @pytest.mark.parametrize("name", NAMES)
    def test_every_link_target_exists(self, name):
        page = ROOT / name
        links = [link for link in LINK.findall(page.read_text()) if "://" not in link]
        assert [link for link in links if not (page.parent / link).exists()] == []

    @pytest.mark.parametrize("name", NAMES)
    def test_every_command_exists(self, name):
        for text in COMMAND.findall((ROOT / name).read_text()):
            words = shlex.split(text)
            if words[-1] == "..." or words == ["gentianlink", "catalogue"]:
                continue
            command = find_command(words)
            assert command is not None, text
            assert find_unknown_options(command, words) == [], text

    def test_page_of_commands_is_up_to_date(self):
        assert PATH.read_text() == format_page()

    def test_guide_explains_every_reason(self):
        text = (ROOT / "docs" / "operators" / "GUIDE.md").read_text()
        assert [
            item.value for item in Reason if f"| `{item.value}` |" not in text
        ] == []
