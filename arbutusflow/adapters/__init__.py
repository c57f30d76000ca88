"""Sockets, codecs and files around the decision core."""
