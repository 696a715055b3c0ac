"""The process beside each target: proxy, member of the mesh, client of the platform."""
