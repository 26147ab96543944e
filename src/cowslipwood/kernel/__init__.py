"""Code that all programs share: settings, logs, metrics, clocks, connections."""
