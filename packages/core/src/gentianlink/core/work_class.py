"""Classes of work that decide what may be repeated."""

import enum


class WorkClass(enum.Enum):
    """Class of work of a catalogue entry."""

    READ = "read"
    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"

    @property
    def is_repeatable(self):
        """Whether a second execution does no harm."""
        return self is not WorkClass.AT_MOST_ONCE
