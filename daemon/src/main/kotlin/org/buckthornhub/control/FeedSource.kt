package org.buckthornhub.control

/** The control state as a daemon can pass it on. */
internal interface FeedSource {
    fun view(): ReplicatedView

    /** Waits until there is a state newer than [revision]. */
    suspend fun awaitNewer(revision: Long)
}
