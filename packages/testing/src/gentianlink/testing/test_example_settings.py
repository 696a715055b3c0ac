import pytest

from gentianlink.ops.validate_catalogue import validate_catalogue
from gentianlink.parser.catalogue_file import load_catalogue
from gentianlink.parser.settings_file import load_operator_settings, load_settings
from gentianlink.testing.example_settings import DIRECTORY, format_examples

CATALOGUES = ("kingston.catalogue.ini", "ho-chi-minh-city.catalogue.ini")


class TestExampleSettings:
    @pytest.mark.parametrize("name", sorted(format_examples()))
    def test_file_is_up_to_date(self, name):
        assert (DIRECTORY / name).read_text() == format_examples()[name]

    @pytest.mark.parametrize("region", ["kingston", "ho-chi-minh-city"])
    def test_node_settings_load(self, region):
        settings = load_settings(DIRECTORY / f"{region}.node.ini")
        assert settings.node.region == region
        assert settings.calls.connections == 130

    def test_operator_settings_load(self):
        settings = load_operator_settings(DIRECTORY / "kingston.operator.ini")
        assert settings.operator.name == "ann"

    @pytest.mark.parametrize("name", CATALOGUES)
    def test_catalogue_has_no_problems(self, name):
        catalogue, problems = load_catalogue(DIRECTORY / name)
        assert problems + validate_catalogue(catalogue, name) == []

    def test_every_file_is_covered(self):
        names = {path.name for path in DIRECTORY.iterdir()}
        assert names == {*CATALOGUES, *format_examples()}
