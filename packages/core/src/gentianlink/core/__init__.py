"""Data types shared by every part of gentianlink; this package imports no other."""
