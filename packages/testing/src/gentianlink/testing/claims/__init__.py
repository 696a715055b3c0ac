"""Simulation of at-most-once execution in which a schedule picks every event."""
