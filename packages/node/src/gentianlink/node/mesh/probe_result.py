"""Results of a probe."""

import enum


class ProbeResult(enum.Enum):
    """Whether a probed node answered."""

    ALIVE = "alive"
    REFUSED = "refused"
    SILENT = "silent"
