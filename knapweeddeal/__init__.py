"""knapweeddeal: A layer-4 load balancer and the coordination layer it runs on."""

__all__ = ["__version__"]

__version__ = "0.1.0"
