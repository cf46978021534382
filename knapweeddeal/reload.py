"""knapweeddeal.reload: Reloading of settings while a process runs."""

import curio

from knapweeddeal.errors import BadSettingError
from knapweeddeal.logs import Log

__all__ = ["reload_settings", "watch_settings"]

LOG = Log(prefix="settings")

#: Time between checks of the settings file, which may change without a signal.
FILE_CHECK_INTERVAL_MS = 1_000


def reload_settings(settings):
    """Reload the settings and log the result; return whether they were valid."""
    try:
        restart_keys = settings.reload()
    except BadSettingError as error:
        LOG.warning(
            "kept the previous settings, as the new ones are invalid",
            why=str(error),
        )
        return False
    LOG.info("reloaded the settings", wait_for_restart=restart_keys)
    return True


async def watch_settings(settings, reloaded):
    """Reload the settings whenever their file changed; then `await reloaded()`."""
    while True:
        await curio.sleep(FILE_CHECK_INTERVAL_MS / 1000)
        if settings.is_outdated() and reload_settings(settings):
            await reloaded()
