"""Code generated from idl/."""
