"""Measurements of the deployments, kept out of the serving path."""
