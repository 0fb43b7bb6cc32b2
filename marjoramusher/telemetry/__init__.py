"""Counters, histograms and logs."""
