"""knapweeddeal.reload: Settings that are read again while a process runs."""

from knapweeddeal.errors import BadSettingError
from knapweeddeal.logs import Log

__all__ = ["reload_settings"]

LOG = Log(prefix="settings")


def reload_settings(settings):
    """Read settings again and log the result; return whether that went well."""
    try:
        kept = settings.reload()
    except BadSettingError as error:
        LOG.warning("Settings stay as they are.", why=str(error))
        return False
    LOG.info("Settings read again.", wait_for_restart=kept)
    return True
