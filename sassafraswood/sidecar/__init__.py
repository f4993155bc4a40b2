"""The daemon on a platform that keeps all lasting state in its store."""
