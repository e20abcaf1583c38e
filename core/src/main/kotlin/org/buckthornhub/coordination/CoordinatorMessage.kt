package org.buckthornhub.coordination

import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.failover.FailoverMessage
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.PrimaryDesignations
import org.buckthornhub.target.TargetId

/** Messages handled by [CoordinatorDecider]. */
public sealed interface CoordinatorMessage {
    /** An instance announced itself or a change of its record. */
    public data class Announced(val record: InstanceRecord) : CoordinatorMessage

    /** The instance [target] ended. */
    public data class Ended(val target: TargetId) : CoordinatorMessage

    /** A daemon that serves sessions sent its report. */
    public data class Reported(val report: ProxyReport) : CoordinatorMessage

    /** An answer that a failover in progress waits for. */
    public data class Failover(val message: FailoverMessage) : CoordinatorMessage

    /**
     * Periodic timer event.
     *
     * @property isLeader whether this VM leads the control quorum
     * @property designations primaries that the control quorum has designated
     * @property evacuated availability zones whose instances may not lead
     * @property groups groups that the route table names; null if there is no table that could name them
     * @property syncReplicas number of replicas that have received each acknowledged commit, by group
     */
    public data class Tick(
        val isLeader: Boolean,
        val designations: PrimaryDesignations = PrimaryDesignations(),
        val evacuated: Set<ZoneId> = emptySet(),
        val syncReplicas: Map<GroupId, Int> = emptyMap(),
        val groups: Set<GroupId>? = null,
    ) : CoordinatorMessage
}
