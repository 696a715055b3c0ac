"""Parsers of settings files and catalogue files."""
