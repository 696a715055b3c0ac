"""Choice of the target of a call by expected completion time."""
