"""Measure the decision core and the control plane without sockets."""

import msgspec

from lab import decide as decide_core
from lab.scenario import Options, Report

__all__ = ["decide"]


def decide(options: Options) -> Report:
    """Return the cost of one routing decision and of one block look-up."""
    return msgspec.convert(decide_core.run(options.deployment, options.seed), Report)
