"""Run experiments with real processes and stand-ins on loopback."""
