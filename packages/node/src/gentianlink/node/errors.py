"""Errors of the node process and of its admin port."""

from gentianlink.core.errors import GentianlinkError


class ListenFailed(GentianlinkError):
    """The node can't listen on an address of its settings.

    Parameters
    ----------
    key : str
        Key of the port in section ``listen``.
    address : str
        IP address.
    port : int
        TCP port.
    why : str
        Error message of the operating system.
    """

    def __init__(self, key, address, port, why):
        super().__init__(f"[listen] {key}: can't listen on {address}:{port}: {why}")
        self.key = key


class AdminRequestInvalid(GentianlinkError):
    """A request to the admin port is invalid.

    Parameters
    ----------
    status : int
        HTTP status of the answer.
    message : str
        What is wrong.
    """

    def __init__(self, status, message):
        super().__init__(message)
        self.status = status
