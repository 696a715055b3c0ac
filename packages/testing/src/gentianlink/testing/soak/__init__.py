"""Soak test of both deployments under load, faults and changes, with all checks."""
