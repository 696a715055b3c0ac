"""Adapter to the platform: names, wire formats and clients; contains no policy."""
