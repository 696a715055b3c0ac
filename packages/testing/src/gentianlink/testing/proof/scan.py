"""Find the ``proves`` markers in test files without importing them."""

import ast

from gentianlink.testing.proof.proof_claim import ProofClaim

MARKER = "proves"


def get_claims(source, file_name):
    """Return the claims of the ``proves`` markers in one test file.

    Parameters
    ----------
    source : str
        Text of the file.
    file_name : str
        Name of the file, for the names of its tests.

    Returns
    -------
    list of ProofClaim
        Claims in the order of the file.
    """
    claims = []
    for parent in ast.walk(ast.parse(source)):
        if isinstance(parent, ast.ClassDef):
            claims.extend(_get_class_claims(parent, file_name))
    return claims


def _get_class_claims(class_node, file_name):
    claims = []
    for node in class_node.body:
        if not isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            continue
        test = f"{file_name}::{class_node.name}::{node.name}"
        for decorator in node.decorator_list:
            words = _get_marker_words(decorator)
            if words is not None:
                claims.append(ProofClaim(*words, test))
    return claims


def _get_marker_words(decorator):
    if not isinstance(decorator, ast.Call):
        return None
    function = decorator.func
    if not isinstance(function, ast.Attribute) or function.attr != MARKER:
        return None
    return tuple(argument.value for argument in decorator.args)


def scan_tree(root):
    """Return the claims of all test files below a directory.

    Parameters
    ----------
    root : pathlib.Path
        Directory of the workspace packages.

    Returns
    -------
    list of ProofClaim
        Claims, sorted by file.
    """
    claims = []
    for path in sorted(root.rglob("test_*.py")):
        claims.extend(get_claims(path.read_text(), path.name))
    return claims
