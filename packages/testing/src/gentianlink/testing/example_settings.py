"""Generate the annotated example settings files from the settings classes.

Run ``python -m gentianlink.testing.example_settings`` after adding or changing a
setting; a test compares the files with the output of this module.
"""

import pathlib

import attrs

from gentianlink.core.operator_settings import OperatorSettings
from gentianlink.core.setting_fields import ALLOWED, RELOADABLE
from gentianlink.core.settings import Settings

DIRECTORY = pathlib.Path(__file__).parents[5] / "examples"
KINGSTON = {
    "node.id": "inquiry-1",
    "node.region": "kingston",
    "node.data_centre": "kingston-1",
    "listen.address": "10.1.1.11",
    "listen.call_port": "7000",
    "listen.mesh_port": "7001",
    "listen.admin_port": "7002",
    "platform.table_url": "http://10.1.0.2:9000/table",
    "platform.object_url": "http://10.1.0.2:9000/objects",
    "mesh.seeds": "10.1.1.12:7001, 10.1.2.11:7001",
}
HO_CHI_MINH_CITY = {
    "node.id": "pricing-1",
    "node.region": "ho-chi-minh-city",
    "node.data_centre": "ho-chi-minh-city-1",
    "listen.address": "10.2.1.11",
    "listen.call_port": "7000",
    "listen.mesh_port": "7001",
    "listen.admin_port": "7002",
    "platform.table_url": "http://10.2.0.2:9000/table",
    "platform.object_url": "http://10.2.0.2:9000/objects",
    "mesh.seeds": "10.2.1.12:7001, 10.2.2.11:7001",
}
OPERATOR = {
    "platform.table_url": "http://10.1.0.2:9000/table",
    "platform.object_url": "http://10.1.0.2:9000/objects",
    "nodes.admin_urls": "http://10.1.1.11:7002, http://10.1.2.11:7002",
    "operator.name": "ann",
}


def format_example(title, data_type, values):
    """Return an annotated settings file.

    Parameters
    ----------
    title : str
        Text of the comment on the first line.
    data_type : type
        ``Settings`` or ``OperatorSettings``.
    values : dict of str to str
        Values to show in place of the defaults, by ``section.key``.

    Returns
    -------
    str
        INI text with every section and key, and a comment on each.
    """
    lines = [f"# {title}"]
    for section in attrs.fields(data_type):
        purpose = section.type.__doc__.partition(": ")[2].strip()
        lines += ["", f"# {purpose[0].upper()}{purpose[1:]}", f"[{section.name}]"]
        for field in attrs.fields(section.type):
            value = values.get(f"{section.name}.{field.name}")
            lines += _format_key(field, value)
    return "\n".join(lines) + "\n"


def _format_key(field, value):
    notes = [f"# {field.metadata[ALLOWED]}"]
    if field.default is attrs.NOTHING:
        notes.append("required")
    else:
        default = _format_value(field.default)
        notes.append(f"default {default}" if default else "may be left out")
    if field.metadata[RELOADABLE]:
        notes.append("taken over by a reload")
    shown = _format_value(field.default) if value is None else value
    line = f"{field.name} = {shown}" if shown else f"# {field.name} ="
    return ["; ".join(notes), line]


def _format_value(value):
    if isinstance(value, tuple):
        return ", ".join(value)
    if isinstance(value, bool):
        return str(value).lower()
    return str(value)


def format_examples():
    """Return the text of each example file by file name.

    Returns
    -------
    dict of str to str
        INI texts by file name.
    """
    return {
        "kingston.node.ini": format_example(
            "Node beside the first inquiry target of Kingston.", Settings, KINGSTON
        ),
        "ho-chi-minh-city.node.ini": format_example(
            "Node beside the first pricing target of Ho Chi Minh City.",
            Settings,
            HO_CHI_MINH_CITY,
        ),
        "kingston.operator.ini": format_example(
            "Operator's settings for Kingston.", OperatorSettings, OPERATOR
        ),
    }


def main():
    """Write all example files."""
    for name, text in format_examples().items():
        (DIRECTORY / name).write_text(text)


if __name__ == "__main__":
    main()
