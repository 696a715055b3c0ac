"""Faults that a stand-in takes on command."""

import attrs


@attrs.frozen
class Faults:
    """What a stand-in does wrong.

    Attributes
    ----------
    down : bool
        Answer every request with status 503, with no effect.
    delay_ms : int
        Wait before each request takes effect, in milliseconds.
    lose_answers : bool
        Let requests take effect and close the connection without an answer.
    frozen : bool
        Take requests and do nothing.
    land_late_ms : int
        Close the connection of a transaction without an answer and let it take effect
        after this time in milliseconds.
    """

    down: bool = False
    delay_ms: int = 0
    lose_answers: bool = False
    frozen: bool = False
    land_late_ms: int = 0
