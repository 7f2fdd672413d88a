"""Tests of the composition of the daemon."""
