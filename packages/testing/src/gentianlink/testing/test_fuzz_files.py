import pytest

from gentianlink.testing.fuzz_files import CASES, run_fuzz

FILES = 150


class TestFuzzFiles:
    @pytest.mark.parametrize(("name", "check"), CASES, ids=[case[0] for case in CASES])
    def test_every_file_is_accepted_or_rejected(self, name, check):
        files, accepted = run_fuzz(name, check, FILES)
        assert files >= FILES
        assert accepted > 0
