"""Links between nodes, which carry catalogue versions and membership records."""
