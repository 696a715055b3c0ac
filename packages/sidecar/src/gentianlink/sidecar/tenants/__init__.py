"""API keys and limits of tenants."""
