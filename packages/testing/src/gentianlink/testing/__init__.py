"""Test doubles, load tests and experiments; no deployed package imports them."""
