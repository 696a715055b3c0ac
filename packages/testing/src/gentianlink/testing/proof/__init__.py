"""The table of promises, faults and steps, and which test proves each cell."""
