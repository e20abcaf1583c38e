package org.buckthornhub.failover

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.target.TargetId

/** How far the replacement of one primary has come. */
public sealed interface FailoverPhase {
    public data object Watching : FailoverPhase

    /** Asks the [candidates] how far they are; silent ones are left out after [deadlineMillis]. */
    public data class Surveying(
        val candidates: Set<TargetId>,
        val answers: PersistentMap<TargetId, InstanceStatus> = persistentMapOf(),
        val deadlineMillis: Long,
        val reason: String,
    ) : FailoverPhase

    /** The order for [target] is under way; it is repeated for the same instance until there is a clear answer. */
    public data class Promoting(
        val target: TargetId,
        val reason: String,
    ) : FailoverPhase

    /** [target] was promoted; nothing is done until it shows or [untilMillis] has passed. */
    public data class Settling(
        val target: TargetId,
        val untilMillis: Long,
    ) : FailoverPhase
}
