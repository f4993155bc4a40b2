"""The daemon for a platform whose store keeps all persistent state."""
