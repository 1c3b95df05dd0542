"""The service registry: its published items, and clients that follow them."""
