"""Detection of answers that are lost now and then, though the workers are up."""

from collections import deque

WINDOW_S = 3.0
"""Time for which a lost answer counts."""

FREQUENT_LOSSES = 3
"""Number of lost answers in WINDOW_S from which losses count as frequent."""


class AnswerLoss:
    """Counts the answers that were lost on the way from workers that answered the next call."""

    def __init__(self) -> None:
        self._lost_s: deque[float] = deque(maxlen=FREQUENT_LOSSES)

    def record(self, now_s: float) -> None:
        """Records that a worker answers again after a call without an answer."""
        self._lost_s.append(now_s)

    def is_frequent(self, now_s: float) -> bool:
        """Returns whether answers are lost often enough to expect further losses."""
        return len(self._lost_s) == FREQUENT_LOSSES and now_s - self._lost_s[0] <= WINDOW_S
