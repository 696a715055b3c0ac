"""At-most-once execution where a schedule picks every next event."""
