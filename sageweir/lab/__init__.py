"""The laboratory: stand-ins for clearing servers, the feed and proxies, and experiments with bounds. Loopback only."""
