"""Measurements; each command prints one JSON object as its last line."""
