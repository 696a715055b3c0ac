"""Stand-ins of the platform, targets and callers; nothing shipped imports them."""
