"""Models of the protocols, for model checking with minicheck."""
