"""Adapter for the platform: names, formats and calls, without any decisions."""
