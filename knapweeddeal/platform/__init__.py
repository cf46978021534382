"""knapweeddeal.platform: Names, formats and calls of the users' platform.

Nothing here decides. Their words are translated once: machine is VM, zone is
availability zone, back end is upstream, heartbeat is status report, and a config is
a packet configuration with a revision.
"""
