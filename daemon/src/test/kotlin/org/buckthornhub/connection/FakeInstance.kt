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
 * An instance that answers at once, with just enough of a log to tell old data from new.
 *
 * @property trouble what happens to the statements of callers; asked with the text of each
 */
internal class FakeInstance(
    name: String,
    var role: TargetRole,
    var applied: Long,
    var trouble: (String) -> FakeTrouble? = { null },
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
