"""Admission of calls to a target: slots, queue, limits and fair shares."""
