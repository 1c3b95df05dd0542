"""Configuration published by the platform: its reader, documents and store."""
