"""Exchange of state with other nodes."""
