"""Times and shares by which entries and the leader keep to the limits of customers.

In any window, all entries use at most what one bucket allows for the window, and
further what was granted within `ALLOWANCE_LIFE_MS` before it and what entries without a
leader use. At a limit of R per second these are at most 0.4 R and, for `ALONE_MS` at
`ALONE_SHARE`, 0.35 R. The sum, 0.75 R, is less than the tenth part of a window of 8 s
by which the use may exceed the limit.
"""

__all__ = [
    "ALLOWANCE_LIFE_MS",
    "ALONE_MS",
    "ALONE_SHARE",
    "MAX_ALLOWANCE_WAIT_MS",
    "MIN_BURST_MS",
    "PREFETCH_MS",
]

# Time, in milliseconds, within which a grant may be used, counted from the question.
ALLOWANCE_LIFE_MS = 400.0
# Time, in milliseconds, for whose expected use an entry holds grants.
PREFETCH_MS = 150.0
# Time, in milliseconds, for which an entry that has lost its leader admits requests
# without one. It is longer than an election takes.
ALONE_MS = 1_000.0
# Part of its share of the limit that it uses in that time. Another leader may grant the
# whole limit meanwhile.
ALONE_SHARE = 0.35
# Longest time, in milliseconds, for which a request waits until its customer's bucket
# has filled. The bucket of a new leader begins empty, and a request within the limit
# that comes just then must not be rejected.
MAX_ALLOWANCE_WAIT_MS = 400.0
# Time, in milliseconds, of its rate that a customer may use at once whatever its burst.
# Requests do not arrive evenly.
MIN_BURST_MS = 250.0
