"""Define how calls to the store fail."""


class StoreError(Exception):
    """Report that a call to the store returned no result."""


class StoreRefusedError(StoreError):
    """Report that a call had no effect."""


class StoreUncertainError(StoreError):
    """Report that a call may take effect, now or seconds later."""


class StoreRestoredError(StoreError):
    """Report that the store was restored from a backup meanwhile."""


class ConditionFailedError(StoreError):
    """Report that an item was changed since it was read."""


class LeaseLostError(StoreError):
    """Report that a lease has expired."""
