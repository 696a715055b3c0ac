"""Check the announcement of a target."""

import ipaddress

from gentianlink.core.target_state import TargetState

MAX_NAME_CHARACTERS = 128
MAX_PORT = 65535
MAX_SLOTS = 100_000


def validate_announcement(announcement):
    """Return a message for each mistake in an announcement.

    Parameters
    ----------
    announcement : Announcement
        Announcement that a target sent.

    Returns
    -------
    list of str
        Messages, empty if there is no mistake.
    """
    messages = []
    for validate in (_validate_names, _validate_address, _validate_slots_and_state):
        messages.extend(validate(announcement))
    return messages


def _validate_names(announcement):
    messages = []
    for field in ("service", "target_id"):
        name = getattr(announcement, field)
        is_short = 0 < len(name) <= MAX_NAME_CHARACTERS
        if not is_short or not name.isprintable() or "/" in name or " " in name:
            messages.append(
                f"{field}: expected 1 to {MAX_NAME_CHARACTERS} printable characters "
                "without spaces and slashes"
            )
    return messages


def _validate_address(announcement):
    messages = []
    if not 0 < announcement.port <= MAX_PORT:
        messages.append(f"port: expected 1 to {MAX_PORT}")
    try:
        ipaddress.ip_address(announcement.address)
    except ValueError:
        messages.append("address: expected an IP address")
    return messages


def _validate_slots_and_state(announcement):
    messages = []
    if not 0 < announcement.slots <= MAX_SLOTS:
        messages.append(f"slots: expected 1 to {MAX_SLOTS}")
    states = [state.value for state in TargetState]
    if announcement.state not in states:
        messages.append("state: expected one of " + ", ".join(states))
    return messages
