"""Data types shared by all packages of gentianlink; imports none of them."""
