"""Tests of logs, metrics and invariants."""
