"""Tests of `reedspar.fleet`."""
