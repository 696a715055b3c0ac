"""Classes of work, which determine whether a call may be retried."""

import enum


class WorkClass(enum.Enum):
    """Class of work of a catalogue entry."""

    READ = "read"
    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"

    @property
    def is_repeatable(self):
        """Whether a call may be executed more than once."""
        return self is not WorkClass.AT_MOST_ONCE
