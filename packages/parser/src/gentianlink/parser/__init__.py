"""Readers of the files that people write: settings and catalogues."""
