"""Tests of the timer service."""
