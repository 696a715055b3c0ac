"""Write the page of commands from the command line itself.

Run ``python -m gentianlink.testing.command_page`` after a command was changed; a test
compares the page with this module's output.
"""

import pathlib

import typer.main

from gentianlink.node.exit_code import NodeExitCode
from gentianlink.tools.exit_code import ExitCode
from gentianlink.tools.main import make_application

PATH = pathlib.Path(__file__).parents[5] / "docs" / "operators" / "COMMANDS.md"
INTRODUCTION = """\
# Commands

Written by `python -m gentianlink.testing.command_page`.

Every command takes `--help`. Addresses come from options, else from environment
variables, else from the INI file of `--config`
([example](../../examples/kingston.operator.ini)). Without `--node`, nodes are found
through the table service. Messages about failures go to standard error.
"""


def get_commands():
    """Return the commands by their words.

    Returns
    -------
    dict of str to command
        Such as ``gentianlink catalogue apply``.
    """
    return dict(_iterate("gentianlink", typer.main.get_command(make_application())))


def _iterate(words, command):
    children = getattr(command, "commands", None)
    if children is None:
        yield words, command
        return
    for name, child in children.items():
        yield from _iterate(f"{words} {name}", child)


def format_page():
    """Return the page.

    Returns
    -------
    str
        Markdown text.
    """
    parts = [INTRODUCTION]
    parts += [_format_command(*item) for item in get_commands().items()]
    parts.append(_format_codes("Exit codes of `gentianlink`", ExitCode))
    parts.append(_format_codes("Exit codes of `gentianlink-node`", NodeExitCode))
    return "\n".join(parts)


def _format_command(words, command):
    arguments = [item for item in command.params if not item.opts[0].startswith("-")]
    options = [item for item in command.params if item.opts[0].startswith("-")]
    usage = " ".join([words, *(_format_argument(item) for item in arguments)])
    lines = [f"## {words}", "", command.help, "", f"    {usage}", ""]
    lines += ["| option | meaning |", "| --- | --- |"]
    lines += [_format_option(item) for item in options if item.name != "help"]
    return "\n".join(lines) + "\n"


def _format_argument(argument):
    name = argument.name.upper()
    return name if argument.required else f"[{name}]"


def _format_option(option):
    notes = [option.help]
    if option.required:
        notes.append("Required.")
    if option.envvar:
        notes.append(f"Variable `{option.envvar}`.")
    if isinstance(option.default, int | float) and not option.is_flag:
        notes.append(f"Default {option.default:g}.")
    return f"| `{option.opts[0]}` | {' '.join(notes)} |"


def _format_codes(title, codes):
    lines = [f"## {title}", "", "| code | name | meaning |", "| --- | --- | --- |"]
    lines += [f"| {code.value} | {code.name} | {code.meaning} |" for code in codes]
    return "\n".join(lines) + "\n"


def main():
    """Write the page."""
    PATH.write_text(format_page())


if __name__ == "__main__":
    main()
