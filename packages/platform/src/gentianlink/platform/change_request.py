"""An operator's request for a change."""

import attrs


@attrs.frozen
class ChangeRequest:
    """Who asks for a change, and why.

    Attributes
    ----------
    change_id : str
        Identifier of the change; a repeated request uses the same one.
    who : str
        Operator.
    why : str
        Reason.
    """

    change_id: str
    who: str
    why: str
