"""Takes callers' requests: connections, limits, and what is refused at once."""
