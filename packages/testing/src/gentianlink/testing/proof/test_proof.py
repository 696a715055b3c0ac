from gentianlink.testing.proof.__main__ import PAGE, ROOT
from gentianlink.testing.proof.proof_claim import ProofClaim
from gentianlink.testing.proof.render import render_page
from gentianlink.testing.proof.scan import get_claims, scan_tree
from gentianlink.testing.proof.validate import validate_claims

SOURCE = """\
class TestThing:
    @pytest.mark.proves("no-cut", "kill", "stop")
    @pytest.mark.proves("no-cut", "none", "stop")
    def test_one(self):
        pass

    def test_two(self):
        pass
"""


class TestProof:
    def test_markers_are_found(self):
        assert get_claims(SOURCE, "test_thing.py") == [
            ProofClaim("no-cut", "kill", "stop", "test_thing.py::TestThing::test_one"),
            ProofClaim("no-cut", "none", "stop", "test_thing.py::TestThing::test_one"),
        ]

    def test_unknown_words_are_reported(self):
        claims = [ProofClaim("no-cut", "boredom", "accept", "t")]
        assert validate_claims(claims) == [
            "t: unknown fault 'boredom'",
            "t: step 'accept' does not apply to 'no-cut'",
        ]

    def test_page_matches_the_markers(self):
        claims = scan_tree(ROOT / "packages")
        assert validate_claims(claims) == []
        assert PAGE.read_text() == render_page(claims), "run .ci/generate"
