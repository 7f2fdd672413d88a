"""Measurements: each command prints one JSON object in its last line."""
