"""The service registry: what it publishes, and how a process follows it."""
