"""Datagrams between nodes, for short messages that may be lost."""
