"""Tests of the agent's side of requests."""
