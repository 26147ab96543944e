"""The state that an entry keeps for each backend server, and the choice of one."""
