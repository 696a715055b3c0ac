"""Functions over entries, records and versions; none of them does I/O or has state."""
