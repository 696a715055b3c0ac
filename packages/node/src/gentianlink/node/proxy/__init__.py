"""The proxy: routes calls, guards the local target, tells outcomes."""
