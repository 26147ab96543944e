"""Small stand-ins for the systems outside: engine, service, store, platform."""
