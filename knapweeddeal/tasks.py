"""knapweeddeal.tasks: Tasks that live and end together."""

import curio

from knapweeddeal.errors import KnapweeddealError

__all__ = ["run_until_first"]


async def run_until_first(*coroutines):
    """Run coroutines until one ends; cancel the others; raise what it raised."""
    async with curio.TaskGroup(wait=any) as group:
        for coroutine in coroutines:
            await group.spawn(_ended, coroutine)
    error = group.completed.result
    if error is not None:
        raise error


async def _ended(coroutine):
    try:
        await coroutine
    except KnapweeddealError as error:
        return error
    return None
