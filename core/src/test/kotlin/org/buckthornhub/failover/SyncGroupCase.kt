package org.buckthornhub.failover

/**
 * How a group with synchronous replicas is disturbed, at random times.
 *
 * @property isPrimaryCrashed whether the primary ends; otherwise it shuts down, and goes on acknowledging commits until it is replaced
 * @property silentShare share of questions to a replica that get no answer
 * @property busyShare share of answers in which a replica is busy
 */
internal data class SyncGroupCase(
    val name: String,
    val replicas: Int,
    val syncReplicas: Int,
    val isPrimaryCrashed: Boolean,
    val silentShare: Double = 0.0,
    val busyShare: Double = 0.0,
) {
    override fun toString(): String = name
}
