"""Obtain units of workspace limits for requests."""
