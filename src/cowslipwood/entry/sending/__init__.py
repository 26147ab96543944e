"""Sends requests to backend servers, through the agents beside them."""
