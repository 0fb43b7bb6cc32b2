"""The revision of the operators' records that is in force at this instance."""

from collections.abc import Callable

import reactivex
import reactivex.subject

from ..core import record
from ..groups import group as groups
from ..records import machine
from ..telemetry import log, metrics


class ActiveConfiguration:
    """Put committed revisions in force; the revision in force never decreases.

    That also holds across restarts, since a revision is stored before it is put in
    force.

    Parameters
    ----------
    group : Group
        The records group.
    records : RecordsMachine
        State machine of that group at this instance.
    stored_revision : callable
        Returns the stored revision, the last one in force at this instance.
    store_revision : callable
        Stores a revision; raises an error if the disk fails, and the revision is then
        not put in force.
    metrics_registry : Metrics
        Receives the revision in force as a gauge.
    """

    def __init__(
        self,
        group: groups.Group,
        records: machine.RecordsMachine,
        stored_revision: Callable[[], int],
        store_revision: Callable[[int], bool],
        metrics_registry: metrics.Metrics,
    ) -> None:
        self._records = records
        self._stored_revision = stored_revision
        self._store_revision = store_revision
        self._metrics = metrics_registry
        self._current = record.Configuration()
        self._changes: reactivex.Subject[record.Configuration] = (
            reactivex.subject.Subject()
        )
        self._subscription = group.applied.subscribe(on_next=self._activate)
        self._activate(0)

    @property
    def current(self) -> record.Configuration:
        """Return the configuration in force."""
        return self._current

    @property
    def changes(self) -> reactivex.Observable[record.Configuration]:
        """Return the stream of configurations put in force."""
        return self._changes

    @property
    def is_caught_up(self) -> bool:
        """Return whether the stored revision, or a later one, is in force."""
        return self._current.revision >= self._stored_revision()

    def close(self) -> None:
        """Unsubscribe from the group."""
        self._subscription.dispose()

    def _activate(self, index: int) -> None:
        del index
        configuration = self._records.configuration
        if configuration.revision <= self._current.revision:
            return
        if configuration.revision < self._stored_revision():
            # The records are restored from an old snapshot and still catching up.
            return
        self._store_revision(configuration.revision)
        self._current = configuration
        self._metrics.set_gauge("configuration_revision", configuration.revision)
        log.state_change("configuration.in_force", revision=configuration.revision)
        self._changes.on_next(configuration)
