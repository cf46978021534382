"""knapweeddeal.reload: Settings that are read again while a process runs."""

import curio

from knapweeddeal.errors import BadSettingError
from knapweeddeal.logs import Log

__all__ = ["reload_settings", "watch_settings"]

LOG = Log(prefix="settings")

#: Time between looks at the settings file, which may change without a signal.
FILE_CHECK_INTERVAL_MS = 1_000


def reload_settings(settings):
    """Read settings again and log the result; return whether that went well."""
    try:
        kept = settings.reload()
    except BadSettingError as error:
        LOG.warning("Settings stay as they are.", why=str(error))
        return False
    LOG.info("Settings read again.", wait_for_restart=kept)
    return True


async def watch_settings(settings, reloaded):
    """Read settings again whenever their file changed; then `await reloaded()`."""
    while True:
        await curio.sleep(FILE_CHECK_INTERVAL_MS / 1000)
        if settings.is_outdated() and reload_settings(settings):
            await reloaded()
