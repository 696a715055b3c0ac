"""Roll-outs of a version of a service."""
