package org.buckthornhub.standin.instance

import org.buckthornhub.group.GroupId
import org.buckthornhub.target.wire.Announcement
import org.buckthornhub.target.wire.LogBody
import org.buckthornhub.target.wire.LogEntryBody

/** Returns the announcement of this instance of [group], which accepts connections at [address]. */
internal fun InstanceState.announcement(group: GroupId, address: String): Announcement = Announcement(
    target = target,
    group = group,
    zone = zone,
    address = address,
    role = role,
    term = term,
    received = received,
    applied = applied,
    slots = settings.slots,
    leaving = faults.leaving,
    connectionsOpen = connections.size,
)

/** Returns the committed and the discarded log entries of this instance of [group]. */
internal fun InstanceState.logBody(group: GroupId): LogBody =
    LogBody(target, group, role, term, log.map { it.toBody() }, discarded.map { it.toBody() })

private fun LogEntry.toBody() = LogEntryBody(term, position, requestId, commands.map { it.text })
