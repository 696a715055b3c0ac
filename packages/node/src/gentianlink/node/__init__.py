"""The node process beside each target: call proxy, mesh member, platform client."""
