"""Emulators of the systems around a balancer, a load generator and simulations."""
