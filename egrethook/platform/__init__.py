"""Adapter between the users' deployment platform and the product.

It only translates encodings and names; all decisions are made elsewhere.
"""
