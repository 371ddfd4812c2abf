"""Provide the tables that all components of a node share."""
