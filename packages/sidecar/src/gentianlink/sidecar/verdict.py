"""Classification of an answer by its status and headers."""

import attrs

from gentianlink.node.proxy.refusal import Refusal


@attrs.frozen
class Verdict:
    """Whether an answer can be relayed.

    Attributes
    ----------
    refusal : Refusal or None
        Why the call was not executed, if this was received in place of an answer.
    is_foreign : bool
        Whether the answer belongs to another call.
    is_bad : bool
        Whether the answer can't be from a target or node, so that it is not relayed.
    """

    refusal: Refusal | None = None
    is_foreign: bool = False
    is_bad: bool = False

    @property
    def is_answer(self):
        """Whether the answer is the target's answer to this call."""
        return self.refusal is None and not self.is_foreign and not self.is_bad


ANSWER = Verdict()
FOREIGN = Verdict(is_foreign=True)
BAD = Verdict(is_bad=True)
