package org.buckthornhub.connection

import org.buckthornhub.group.GroupId
import org.buckthornhub.target.TargetId

/** Decides which instances a daemon may use as primaries, before a statement is sent and again before its answer is passed on. */
internal interface PrimaryAuthority {
    /** Returns whether [target] may be used as the primary of [group] now. */
    fun allows(group: GroupId, target: TargetId): Boolean

    /** Suspends until the daemon may use primaries at all; returns false if it may not at [deadlineMillis] (local monotonic ms). */
    suspend fun await(deadlineMillis: Long): Boolean

    companion object {
        /** For platforms that take the role from the old primary at the moment of the promotion. */
        val FENCED_BY_PLATFORM: PrimaryAuthority = object : PrimaryAuthority {
            override fun allows(group: GroupId, target: TargetId) = true

            override suspend fun await(deadlineMillis: Long) = true
        }
    }
}
