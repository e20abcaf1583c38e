package org.buckthornhub.connection

import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import org.buckthornhub.clock.Clock
import org.buckthornhub.coordination.ProxyView
import org.buckthornhub.group.GroupId
import org.buckthornhub.target.TargetId

/** Allows designated primaries while the daemon holds a lease of the control leader. */
internal class LeasedPrimaryAuthority(
    private val view: StateFlow<ProxyView>,
    private val clock: Clock,
) : PrimaryAuthority {
    override fun allows(group: GroupId, target: TargetId): Boolean =
        view.value.let { it.hasPrimaryLease(clock) && it.designations.allows(group, target) }

    override suspend fun await(deadlineMillis: Long): Boolean = view.value.hasPrimaryLease(clock) ||
        withTimeoutOrNull(deadlineMillis - clock.nowMillis()) { view.first { it.hasPrimaryLease(clock) } } != null
}
