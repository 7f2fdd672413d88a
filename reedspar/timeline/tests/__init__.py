"""Tests of the timeline."""
