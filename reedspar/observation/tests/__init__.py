"""Tests of the observers."""
