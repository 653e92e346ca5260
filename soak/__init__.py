"""Run edge programs as processes under random faults and check what callers and servers see."""
