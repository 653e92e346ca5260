"""Randomized fault-injection tests against real edge processes, callers and backend servers."""
