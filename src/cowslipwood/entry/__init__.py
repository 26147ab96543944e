"""The process that callers connect to: limits, admission, routing, retries.

`through_agents` and `direct` are its two variants; a process imports only the one
that it runs.
"""
