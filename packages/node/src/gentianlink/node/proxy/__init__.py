"""The proxy: routes calls, protects local targets and reports call outcomes."""
