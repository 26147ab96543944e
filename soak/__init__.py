"""Fault soak: runs the programs of the deploy file and injects faults from outside."""
