"""Tests of whole sessions against a running instance."""
