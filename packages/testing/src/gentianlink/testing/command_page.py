"""Generate the reference page of the commands from their definitions.

Run ``python -m gentianlink.testing.command_page`` after changing a command; a test
compares the page with the output of this module.
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
    """Return all commands by full name.

    Returns
    -------
    dict of str to command
        Full names are such as ``gentianlink catalogue apply``.
    """
    return dict(
        _iterate_commands("gentianlink", typer.main.get_command(make_application()))
    )


def _iterate_commands(full_name, command):
    children = getattr(command, "commands", None)
    if children is None:
        yield full_name, command
        return
    for name, child in children.items():
        yield from _iterate_commands(f"{full_name} {name}", child)


def format_page():
    """Return the reference page.

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


def _format_command(full_name, command):
    arguments = [item for item in command.params if not item.opts[0].startswith("-")]
    options = [item for item in command.params if item.opts[0].startswith("-")]
    usage = " ".join([full_name, *(_format_argument(item) for item in arguments)])
    lines = [f"## {full_name}", "", command.help, "", f"    {usage}", ""]
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
    """Write the reference page."""
    PATH.write_text(format_page())


if __name__ == "__main__":
    main()
