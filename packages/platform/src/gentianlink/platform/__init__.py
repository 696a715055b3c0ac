"""Clients of the platform: the table service and the object store."""
