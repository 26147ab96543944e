"""Receives callers' requests: connections, request limits and early refusals."""
