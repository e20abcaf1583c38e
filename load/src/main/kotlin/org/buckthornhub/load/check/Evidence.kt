package org.buckthornhub.load.check

import org.buckthornhub.load.history.History
import org.buckthornhub.target.TargetRole
import org.buckthornhub.target.wire.LogBody
import org.buckthornhub.target.wire.LogEntryBody

/** All that a check looks at: what clients saw and what the targets have in their logs. */
public data class Evidence(
    val history: History,
    val logs: List<LogBody>,
    val rights: List<OrganisationRight> = emptyList(),
) {
    /** The log that survives in each group: that of the primary with the highest term. */
    public val survivingLogs: Map<String, List<LogEntryBody>> =
        logs
            .groupBy { it.group.value }
            .mapValues { (_, ofGroup) ->
                ofGroup.maxWith(compareBy({ it.term }, { it.role == TargetRole.PRIMARY }, { it.entries.size })).entries
            }
}
