package org.buckthornhub.coordination

import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.failover.FailoverMessage
import org.buckthornhub.target.TargetId

/** What the coordinator on a control VM is told. */
public sealed interface CoordinatorMessage {
    public data class Announced(val record: InstanceRecord) : CoordinatorMessage

    public data class Ended(val target: TargetId) : CoordinatorMessage

    public data class Reported(val report: ProxyReport) : CoordinatorMessage

    /** An answer that the replacement of a primary waits for. */
    public data class Failover(val message: FailoverMessage) : CoordinatorMessage

    /** Time went on. @property isLeader whether this VM leads the control quorum */
    public data class Tick(val isLeader: Boolean) : CoordinatorMessage
}
