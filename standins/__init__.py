"""Stand-ins for targets and workers, for the demo, the benchmarks and the tests."""
