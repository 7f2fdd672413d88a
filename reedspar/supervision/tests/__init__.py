"""Tests of the containment of unexpected errors."""
