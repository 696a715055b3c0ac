"""Catalogue versions and node addresses, stored on the platform."""
