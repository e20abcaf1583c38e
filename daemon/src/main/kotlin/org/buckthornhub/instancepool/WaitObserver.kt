package org.buckthornhub.instancepool

import org.buckthornhub.group.GroupId
import org.buckthornhub.instancepool.waiting.RefusalReason

/** Is told how long statements waited for a connection, and which were refused. Called by the task of the pool alone. */
internal interface WaitObserver {
    /** @param estimatedMillis wait that was expected on arrival; null if there was no estimate */
    fun served(waitedMillis: Long, estimatedMillis: Long?)

    fun refused(group: GroupId, refusal: PoolEffect.Refuse, waitedMillis: Long, nowMillis: Long)

    companion object {
        val NONE: WaitObserver = object : WaitObserver {
            override fun served(waitedMillis: Long, estimatedMillis: Long?) = Unit

            override fun refused(group: GroupId, refusal: PoolEffect.Refuse, waitedMillis: Long, nowMillis: Long) = Unit
        }

        /** Text of [reason] in metrics and log lines. */
        fun labelOf(reason: RefusalReason): String = reason.name.lowercase()
    }
}
