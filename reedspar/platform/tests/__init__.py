"""Tests of the adapters, over loopback against the stand-ins."""
