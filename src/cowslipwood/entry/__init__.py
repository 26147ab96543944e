"""The process that callers reach: limits, admission, routing, retries.

`through_agents` and `direct` are its two programs; a process loads only its own.
"""
