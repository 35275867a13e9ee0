"""Identifiers of sample slots and of the samples that fill them."""

from typing import NamedTuple

from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure

# A holder numbers its attempts from epoch * ATTEMPTS_PER_EPOCH, so that two
# holders of a job give different ids to their samples, unless one of them makes
# more attempts than this.
ATTEMPTS_PER_EPOCH = 1000
_SEPARATOR = "/"
_ID_PARTS = 6


class SampleSlot(NamedTuple):
    """A place in a step, to be filled by one sample.

    Attributes:
      job: Name of the rollout job.
      step: Number of the step.
      group: Number of the prompt in the step, from 0.
      index: Number of the sample within the group, from 0.
    """

    job: str
    step: int
    group: int
    index: int


class SampleId(NamedTuple):
    """Identifier of a sample.

    Attributes:
      slot: Slot that the sample fills.
      generation: Generation of the step that the sample was made for, from 1.
      attempt: Number of the attempt, unique within the slot.
    """

    slot: SampleSlot
    generation: int
    attempt: int

    def to_text(self) -> str:
        """Encodes the sample id as a request id."""
        return _SEPARATOR.join(
            map(str, (*self.slot, self.generation, self.attempt))
        )

    @classmethod
    def from_text(cls, text: str) -> "SampleId | Failure":
        """Parses a sample id from a request id.

        Errors:
          BAD_REQUEST: The text is not a sample id.
        """
        job, *numbers = text.split(_SEPARATOR)
        if len(numbers) != _ID_PARTS - 1 or not all(
            number.isdecimal() for number in numbers
        ):
            return Failure(
                ResultCode.BAD_REQUEST, "The request id is not a sample id."
            )
        step, group, index, generation, attempt = map(int, numbers)
        return cls(SampleSlot(job, step, group, index), generation, attempt)


def first_attempt_number(epoch: int) -> int:
    """Returns the first attempt number of a holder's epoch."""
    return epoch * ATTEMPTS_PER_EPOCH
