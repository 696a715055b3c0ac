"""Faults that can be injected into a stand-in."""

import attrs


@attrs.frozen
class Faults:
    """Faults in force at a stand-in.

    Attributes
    ----------
    down : bool
        Answer every request with status 503; no request takes effect.
    delay_ms : int
        Wait before each request takes effect, in milliseconds.
    lose_answers : bool
        Let each request take effect, then close the connection without an answer.
    frozen : bool
        Accept requests without processing or answering them.
    land_late_ms : int
        Close the connection of each transaction without an answer; the transaction
        takes effect after this time in milliseconds. 0 to take effect normally.
    """

    down: bool = False
    delay_ms: int = 0
    lose_answers: bool = False
    frozen: bool = False
    land_late_ms: int = 0
