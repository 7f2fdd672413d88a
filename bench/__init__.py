"""Measurements and trials, each one command that prints JSON as its last line."""
