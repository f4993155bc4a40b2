"""Names, formats and calls of the users' platform.

Translates them to and from the types of the product, and decides nothing.
"""
