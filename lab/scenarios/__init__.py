"""One module per scenario or small group of scenarios."""
