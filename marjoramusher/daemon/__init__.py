"""The daemon: its settings, its roles and the assembly of their components."""
