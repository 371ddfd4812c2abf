"""Offer the command line of operators."""
