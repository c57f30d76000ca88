"""What is known of the load of endpoints, and the decisions that follow from it.

Nothing here opens a connection or reads a clock: callers pass the time.
"""
