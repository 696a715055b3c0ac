"""One mistake found by a validation."""

import attrs


@attrs.frozen
class Problem:
    """A mistake in a settings file or a catalogue.

    Attributes
    ----------
    source : str
        File or version in which the mistake was found.
    section : str
        Section of the file.
    key : str
        Key in the section; empty if the mistake is the section's.
    found : str
        What was found.
    allowed : str
        What is allowed instead.
    """

    source: str
    section: str
    key: str
    found: str
    allowed: str

    def format(self):
        """Return the mistake as one line of text."""
        place = f"[{self.section}] {self.key}".rstrip()
        return f"{self.source}: {place}: found {self.found}; allowed: {self.allowed}"
