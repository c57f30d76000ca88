"""I/O adapters around the domain logic: sockets, codecs and files."""
