"""Tests of the stand-ins, and of the adapters against them."""
