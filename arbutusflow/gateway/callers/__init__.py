"""HTTP/1.1 towards callers: reading requests and writing responses."""
