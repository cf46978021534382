"""knapweeddeal.platform: Formats and HTTP calls of the users' platform.

These modules only translate. The platform's machine is a VM here, its zone an
availability zone, its back end an upstream, its heartbeat a status report, and its
config a packet configuration with a revision.
"""
