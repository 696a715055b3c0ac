"""An operator's request to change the catalogue."""

import attrs


@attrs.frozen
class ChangeRequest:
    """Identifier, operator and reason of a requested change.

    Attributes
    ----------
    change_id : str
        Identifier of the change; a repeated request has the same one.
    who : str
        Name of the operator.
    why : str
        Reason given by the operator.
    is_repeat : bool
        Whether an earlier request with this id may still take effect.
    """

    change_id: str
    who: str
    why: str
    is_repeat: bool = False
