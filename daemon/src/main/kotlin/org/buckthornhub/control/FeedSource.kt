package org.buckthornhub.control

/** Source of the control state that a daemon serves to others. */
internal interface FeedSource {
    fun view(): ReplicatedView

    /** Suspends until the state is newer than [revision]. */
    suspend fun awaitNewer(revision: Long)
}
