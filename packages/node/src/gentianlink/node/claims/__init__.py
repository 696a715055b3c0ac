"""At-most-once execution: claims of idempotency keys and recorded answers."""
