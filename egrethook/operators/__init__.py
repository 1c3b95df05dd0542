"""Operator interfaces: command line, administration API, probes and reports."""
