"""Write docs/PROOF.md from the markers of the tests."""

import pathlib
import sys

from gentianlink.testing.proof.render import render_page
from gentianlink.testing.proof.scan import scan_tree
from gentianlink.testing.proof.validate import validate_claims

ROOT = pathlib.Path(__file__).parents[6]
PAGE = ROOT / "docs" / "PROOF.md"


def main():
    """Write the page, or print the problems of the markers and exit with 1."""
    claims = scan_tree(ROOT / "packages")
    messages = validate_claims(claims)
    for message in messages:
        print(message)
    if messages:
        sys.exit(1)
    PAGE.write_text(render_page(claims))
    print(f"{PAGE.name}: {len(claims)} claims")


if __name__ == "__main__":
    main()
