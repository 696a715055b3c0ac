"""Sidecar process of a target: routes calls, exchanges state, follows the catalogue."""
