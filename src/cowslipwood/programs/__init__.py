"""The console programs."""
