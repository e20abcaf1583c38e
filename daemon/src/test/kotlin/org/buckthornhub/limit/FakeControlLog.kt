package org.buckthornhub.limit

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.buckthornhub.control.CommandOutcome
import org.buckthornhub.control.ControlCommand
import org.buckthornhub.control.ControlLeadership
import org.buckthornhub.control.ControlLog
import org.buckthornhub.control.ControlState
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.group.GroupId
import org.buckthornhub.routetable.GroupLimits
import org.buckthornhub.routetable.RouteTable
import org.buckthornhub.routetable.StoredRouteTable

/** Fake control log whose leader is this VM, with a table that names the group `g`; it confirms that while [hasMajority] is true. */
internal class FakeControlLog : ControlLog {
    var hasMajority = true
    var term = 1L

    override val state = StateSource { ControlState(routeTable = TABLE) }
    override val leadership = StateSource { ControlLeadership(term, isLeader = true, sinceMillis = 0) }

    override suspend fun propose(command: ControlCommand): Result<CommandOutcome, ProxyError> = error("not used")

    override suspend fun confirmLeadership(): Result<Long, ProxyError> =
        if (hasMajority) Ok(term) else Err(ProxyError(ErrorKind.NO_QUORUM, "no majority"))

    companion object {
        val TABLE = StoredRouteTable(RouteTable(1, groups = mapOf(GroupId("g") to GroupLimits(9, 0))), document = "")
    }
}
