package org.buckthornhub.coordination

/**
 * Reports of three daemons to a control VM, and whether it surveys the replicas for a failover.
 *
 * @property unreachableFrom number of the daemons that cannot reach the primary
 * @property ledMillis time for which this VM has been the leader
 * @property reportedProxies number of daemons in the fleet that they report, as counted by the last leader; 0 if not known
 */
internal data class CoordinatorCase(
    val name: String,
    val unreachableFrom: Int,
    val ledMillis: Long,
    val isLeader: Boolean,
    val isSurveyed: Boolean,
    val reportedProxies: Int = 0,
) {
    override fun toString(): String = name
}
