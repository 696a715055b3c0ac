"""Functions over catalogue entries, membership records and versions, without I/O."""
