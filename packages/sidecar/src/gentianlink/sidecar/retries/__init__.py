"""Retry budget: which attempts are repeats, and how many of them reach a service."""
