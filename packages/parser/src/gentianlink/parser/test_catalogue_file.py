import pytest

from gentianlink.parser.catalogue_file import parse_catalogue

GOOD = """\
[service inquiry]
owner = branch
panic_threshold = 0.25
[entry balance]
owner = branch
service = inquiry
class = read
route = /inquiry/balance
prefer = kingston-2, kingston-1
rate = 2.5
retries = 2
"""


def format_problems(text):
    _, problems = parse_catalogue(text, "c.ini")
    return [problem.format() for problem in problems]


class TestCatalogueFile:
    def test_valid_catalogue(self):
        catalogue, problems = parse_catalogue(GOOD, "c.ini")
        assert problems == []
        entry = catalogue.entries[0]
        assert entry.prefer == ("kingston-2", "kingston-1")
        assert (entry.limits.rate, entry.limits.retries) == (2.5, 2)
        assert catalogue.services[0].panic_threshold == 0.25

    def test_every_mistake_is_listed(self):
        text = (
            GOOD.replace("class = read", "class = green")
            .replace("retries = 2", "retries = two\ncolour = blue")
            .replace("[service inquiry]", "[service]")
            + "[entry balance]\n"
        )
        keys = "owner, service, class, route, prefer, rate, concurrency, queue, "
        assert format_problems(text) == [
            "c.ini: [entry balance]: found the section again at line 13; allowed: once",
            "c.ini: [service]: found an unknown section; "
            "allowed: [service NAME] or [entry NAME]",
            f"c.ini: [entry balance] colour: found an unknown key; allowed: {keys}"
            "deadline_ms, retries, body_max_bytes",
            "c.ini: [entry balance] class: found 'green'; "
            "allowed: read, idempotent, at-most-once",
            "c.ini: [entry balance] retries: found 'two'; allowed: a whole number",
        ]

    @pytest.mark.parametrize(
        "value", ["nan", "inf", "-inf", "1e400", "1_0", "\u0663", "0x1", "2.5.1"]
    )
    def test_rate_that_is_not_a_finite_decimal_number(self, value):
        assert format_problems(GOOD.replace("rate = 2.5", f"rate = {value}")) == [
            f"c.ini: [entry balance] rate: found {value!r}; "
            "allowed: a number such as 0.5"
        ]

    def test_long_value_is_cut_in_the_message(self):
        text = GOOD.replace("retries = 2", "retries = " + "x" * 1000)
        found = repr("x" * 80) + "..."
        assert format_problems(text) == [
            f"c.ini: [entry balance] retries: found {found}; allowed: a whole number"
        ]
