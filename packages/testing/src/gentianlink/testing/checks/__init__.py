"""Checks of the promises against records of callers, targets and the audit trail."""
