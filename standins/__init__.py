"""Runner and worker stand-ins for the demo and the tests."""
