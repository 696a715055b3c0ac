"""Record of what was sent, answered and run."""

import time


class Record:
    """Writes lines with the time since the start of the record to a file.

    Parameters
    ----------
    path : pathlib.Path
        The file.
    """

    def __init__(self, path):
        self._file = path.open("w")
        self._start_s = time.monotonic()

    def note(self, what, **fields):
        """Write one line."""
        at_s = time.monotonic() - self._start_s
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at_s:9.3f} s  {what}  {text}".rstrip() + "\n")
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()
