"""knapweeddeal.tasks: Groups of tasks that end together."""

import curio

from knapweeddeal.errors import KnapweeddealError

__all__ = ["run_until_first"]


async def run_until_first(*coroutines):
    """Run coroutines until one ends, cancel the others and raise its error, if any."""
    async with curio.TaskGroup(wait=any) as group:
        for coroutine in coroutines:
            await group.spawn(_return_error, coroutine)
    error = group.completed.result
    if error is not None:
        raise error


async def _return_error(coroutine):
    try:
        await coroutine
    except KnapweeddealError as error:
        return error
    return None
