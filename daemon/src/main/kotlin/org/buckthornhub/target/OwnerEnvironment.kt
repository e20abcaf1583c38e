package org.buckthornhub.target

import org.buckthornhub.clock.Clock
import org.buckthornhub.control.ReplicatedView
import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.fleet.VmId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.statement.TransactionId
import org.buckthornhub.target.owner.WriteAuthority
import java.security.SecureRandom
import java.util.HexFormat

/** Dependencies that all owners of targets in this daemon share. */
internal class OwnerEnvironment(
    private val self: VmId,
    val clock: Clock,
    val view: StateSource<FleetView>,
    val authority: WriteAuthority,
    private val drivers: TargetDriver.Factory,
    private val replicated: StateSource<ReplicatedView>,
    val samples: SampleSource,
) {
    private val random = SecureRandom()

    fun leadershipOf(group: GroupId): GroupLeadership? = replicated.current().state.leaderships[group]

    fun driverOf(target: TargetEntry): TargetDriver = drivers.open(target)

    /** Returns an unguessable id for a new transaction on [target]. */
    fun newTransaction(target: TargetId): TransactionId {
        val nonce = ByteArray(NONCE_BYTES).also { random.nextBytes(it) }
        return TransactionRoute(HexFormat.of().formatHex(nonce), target, self).toId()
    }

    private companion object {
        const val NONCE_BYTES = 16
    }
}
