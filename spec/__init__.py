"""Small specifications of the protocols, checked by model checking."""
