"""Stand-ins, load tools and experiments."""
