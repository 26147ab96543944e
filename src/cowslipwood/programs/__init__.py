"""The console programs; each module has the `main` function of one program."""
