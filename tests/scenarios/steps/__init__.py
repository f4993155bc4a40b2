"""Steps of the scenarios; docs/scenarios.md lists them."""
