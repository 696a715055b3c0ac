"""Links between nodes: catalogue versions and membership travel over them."""
