"""Check that imports between workspace packages follow the allowed direction."""

import ast
import pathlib
import sys

ALLOWED_IMPORTS = {
    "core": {"core"},
    "parser": {"core", "parser"},
    "ops": {"core", "ops"},
    "platform": {"core", "platform"},
    "store": {"core", "ops", "platform", "store"},
    "node": {"core", "parser", "ops", "platform", "store", "node"},
    "sidecar": {"core", "parser", "ops", "platform", "node", "sidecar"},
    "tools": {"core", "parser", "ops", "platform", "store", "tools"},
    "testing": {
        "core",
        "parser",
        "ops",
        "platform",
        "store",
        "node",
        "sidecar",
        "tools",
        "testing",
    },
}


def get_imported_names(source):
    """Return the dotted names of the modules that a source text imports.

    Parameters
    ----------
    source : str
        Source text of a Python module.

    Returns
    -------
    list of str
        Module names, in the order of `ast.walk`.
    """
    names = []
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            names.extend(alias.name for alias in node.names)
        if isinstance(node, ast.ImportFrom) and node.module:
            names.append(node.module)
    return names


def validate_package(package, root):
    """Return one message for each forbidden import of a package.

    Tests of every package may also import the package `testing`.

    Parameters
    ----------
    package : str
        Name of the workspace package.
    root : pathlib.Path
        Directory that contains the workspace packages.

    Returns
    -------
    list of str
        Messages; empty if every import is allowed.
    """
    messages = []
    for path in sorted((root / package).rglob("*.py")):
        is_test = path.name.startswith("test_") or path.name == "conftest.py"
        for name in get_imported_names(path.read_text()):
            parts = name.split(".")
            if parts[0] != "gentianlink" or len(parts) < 2:
                continue
            if is_test and parts[1] == "testing":
                continue
            if parts[1] not in ALLOWED_IMPORTS[package]:
                messages.append(f"{path}: {package} may not import {name}")
    return messages


def main():
    """Print all forbidden imports; exit with 1 if there are any, else with 0."""
    root = pathlib.Path(__file__).parent.parent / "packages"
    messages = []
    for package in ALLOWED_IMPORTS:
        messages.extend(validate_package(package, root))
    for message in messages:
        print(message)
    print(f"dependency direction: {len(messages)} problems")
    sys.exit(1 if messages else 0)


if __name__ == "__main__":
    main()
