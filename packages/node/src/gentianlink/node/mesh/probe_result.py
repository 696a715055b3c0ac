"""Result of a probe."""

import enum


class ProbeResult(enum.Enum):
    """Whether a probed node answered, refused the connection or did not answer."""

    ALIVE = "alive"
    REFUSED = "refused"
    SILENT = "silent"
