"""Inject faults into real processes and check the recorded history."""
