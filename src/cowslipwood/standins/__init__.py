"""Simulated external systems: model engine, plain service, weight store, platform."""
