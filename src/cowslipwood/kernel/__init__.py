"""What every program shares: settings, logs, metrics, time, wire, registry."""
