"""How many of a service's slots one entry may fill."""

import math


def own_slots(slots: int, entries: int, others_running: int) -> int:
    """Returns the slots of a service that this entry may fill.

    An entry always has its equal part, and whatever the others leave free by
    the last load reports. A lost entry thus leaves its part to the rest.

    Args:
      slots: Slots of all live endpoints.
      entries: Live entries, this one included.
      others_running: Requests of other entries in the last load reports.
    """
    part = math.ceil(slots / max(1, entries))
    return max(part, slots - others_running)
