"""Checks of the promises, over what callers, targets and the audit trail saw."""
