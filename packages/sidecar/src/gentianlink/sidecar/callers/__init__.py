"""Connections of callers: reading, order of pipelined requests, answers."""
