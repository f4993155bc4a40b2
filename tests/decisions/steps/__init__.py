"""Steps of the scenarios, one module per subject."""
