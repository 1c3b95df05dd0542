"""The platform's side: reader, documents and the configuration in force."""
