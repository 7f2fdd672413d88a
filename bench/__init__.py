"""Measurements, each one command, with one JSON object as its last line."""
