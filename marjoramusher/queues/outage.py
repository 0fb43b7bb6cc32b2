"""Admission of calls at a gateway while no leader answers.

Pattern: a burst of calls behind a lost leader. Most outages end with the next
election, so the calls of the first moments wait for it. Later calls are rejected at
once, since how long the outage lasts is unknown, and their callers come back spread
over a time that grows with its age.
"""

import random

from ..core import errors

# An election, the takeover by the new leader, and the lookup of the new leader.
ELECTION_WAIT_S = 2.0
# A call with less time than this has no chance to be forwarded and answered.
MIN_WAIT_S = 0.1
# Share of the age of an outage to wait before a retry. Four retries then cover an
# outage of 12 s, and a short outage is not followed by a long wait.
RETRY_AGE_SHARE = 0.6
MIN_RETRY_S = 1.0
# Work with an objective of a few seconds loses its value if its caller waits longer.
MAX_RETRY_S = 4.0


class LeaderUnavailableError(errors.NoQuorumError):
    """No leader accepted a call, so it was not run.

    Parameters
    ----------
    silence_s : float
        Time since the last answer of a leader.
    retry_after_s : int
        When the caller should come back.
    """

    def __init__(self, silence_s: float, retry_after_s: int) -> None:
        super().__init__(f"no leader has answered for {silence_s:.1f} s")
        self.retry_after_s = retry_after_s


class LeaderOutage:
    """Circuit breaker for calls to the leader.

    Probes of the gateway close it again, so no call of a caller serves as a trial.

    Parameters
    ----------
    now_s : float
        Monotonic time; until the first answer, the outage counts from here.
    """

    __slots__ = ("_is_lost", "_last_answer_s")

    def __init__(self, now_s: float) -> None:
        self._is_lost = True
        self._last_answer_s = now_s

    @property
    def is_lost(self) -> bool:
        """Tell whether the leader answered neither the last probe nor a later call."""
        return self._is_lost

    def record_answer(self, now_s: float) -> None:
        """Record an answer of the leader."""
        self._is_lost = False
        self._last_answer_s = now_s

    def record_failure(self, sent_s: float) -> None:
        """Record that a probe sent at a given time was not answered."""
        if self._last_answer_s < sent_s:
            self._is_lost = True

    def wait_s(self, now_s: float, remaining_s: float) -> float:
        """Return how long a call may wait for a leader, 0 to reject it at once.

        Parameters
        ----------
        remaining_s : float
            Time until the deadline of the call.
        """
        wait_s = min(remaining_s, ELECTION_WAIT_S)
        if self._is_lost:
            wait_s = min(wait_s, self._last_answer_s + ELECTION_WAIT_S - now_s)
        return wait_s if wait_s >= MIN_WAIT_S else 0.0

    def rejection(self, now_s: float, rng: random.Random) -> LeaderUnavailableError:
        """Return the error for a call that no leader accepted."""
        silence_s = now_s - self._last_answer_s
        return LeaderUnavailableError(silence_s, self.retry_after_s(now_s, rng))

    def retry_after_s(self, now_s: float, rng: random.Random) -> int:
        """Return when the caller of a rejected call should come back.

        It is drawn from a range, so that callers who were rejected together come back
        at different times.
        """
        age_s = now_s - self._last_answer_s
        base_s = min(max(RETRY_AGE_SHARE * age_s, MIN_RETRY_S), MAX_RETRY_S)
        return int(rng.uniform(base_s, 2 * base_s) + rng.random())
