"""Tests of message encoding."""
