"""Sends attempts to agents and passes their answers on."""
