"""A mistake found by validation."""

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
        Key in the section; empty if the mistake concerns the whole section.
    found : str
        What was found, such as the invalid value.
    allowed : str
        Description of the allowed values.
    """

    source: str
    section: str
    key: str
    found: str
    allowed: str

    def format(self):
        """Return the mistake as one line of text."""
        section = f"[{self.section}]" if self.section else ""
        location = " ".join(part for part in (section, self.key) if part)
        prefix = f"{self.source}: {location}" if location else self.source
        return f"{prefix}: found {self.found}; allowed: {self.allowed}"
