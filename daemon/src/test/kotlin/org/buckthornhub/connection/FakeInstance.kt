package org.buckthornhub.connection

import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Position
import org.buckthornhub.group.Term
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole

/**
 * An instance that answers immediately; its log is only a position that grows with each commit.
 *
 * @property fault returns the fault that the statement with a given text meets, or null
 */
internal class FakeInstance(
    name: String,
    var role: TargetRole,
    var applied: Long,
    var fault: (String) -> FakeFault? = { null },
) {
    val record = InstanceRecord(
        target = TargetId(name),
        group = GroupId("g"),
        address = "10.0.0.1:1",
        zone = ZoneId("a"),
        role = role,
        isLeaving = false,
        startedWallMillis = 1,
        sequence = 1,
    )
    var ran: List<String> = emptyList()
        private set
    var commits = 0
        private set
    val position: Position get() = Position(Term(1), LogPosition(applied))

    fun run(text: String) {
        ran = ran + text
    }

    fun commit() {
        commits += 1
        applied += 1
    }
}
