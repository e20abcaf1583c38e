package org.buckthornhub.load.check

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Term
import org.buckthornhub.load.history.Attempt
import org.buckthornhub.load.history.FaultMark
import org.buckthornhub.load.history.History
import org.buckthornhub.load.history.Outcome
import org.buckthornhub.load.history.StatementType
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole
import org.buckthornhub.target.wire.LogBody
import org.buckthornhub.target.wire.LogEntryBody

/** Short ways to write histories and logs by hand. */
internal object Histories {
    val lost = Outcome.Refused(Outcome.WRITE_LOST, mayResend = false)
    val unknown = Outcome.Refused("OUTCOME_UNKNOWN", mayResend = false)
    val limited = Outcome.Refused(Outcome.RATE_EXCEEDED, mayResend = true)

    fun served(value: String?, fromReplica: Boolean = false): Outcome = Outcome.Served(value, fromReplica)

    /** A write of value `org/s.N`, whose request id is `rN`, that takes 5 ms. */
    fun append(number: Int, atMillis: Long, outcome: Outcome = served("org/s.$number"), group: String = "g") =
        attempt("r$number", StatementType.APPEND, "org/s/0", "org/s.$number", atMillis, outcome).copy(group = group)

    /** A transaction `rN` that appends `org/s.N`. */
    fun transaction(number: Int): List<Attempt> = listOf(
        attempt("r$number+begin", StatementType.BEGIN, "org/s/0", null, 0, served(null)),
        attempt("r$number+0", StatementType.IN_TRANSACTION, "org/s/0", "org/s.$number", 10, served(null)),
        attempt("r$number", StatementType.COMMIT, "org/s/0", "org/s.$number", 20, served("org/s.$number")),
    )

    fun insert(id: String, key: String, atMillis: Long, outcome: Outcome = served("v")) =
        attempt(id, StatementType.INSERT, key, id, atMillis, outcome)

    fun read(value: String?, atMillis: Long, key: String = "org/s/0") =
        attempt("read$atMillis", StatementType.READ, key, null, atMillis, served(value))

    fun attempt(id: String, type: StatementType, key: String, value: String?, atMillis: Long, outcome: Outcome) =
        Attempt("org", "org/s", 0, id, "g", type, key, value, "d1", atMillis, atMillis + 5, outcome)

    /** A log whose entries are requests `rN` that appended `org/s.N`. */
    fun log(vararg numbers: Int, term: Long = 1, role: TargetRole = TargetRole.PRIMARY): LogBody =
        logOf(numbers.map { "r$it" to "append org/s/0 org/s.$it" }, term, role)

    fun logOf(entries: List<Pair<String, String>>, term: Long = 1, role: TargetRole = TargetRole.PRIMARY): LogBody {
        val bodies =
            entries.mapIndexed { index, (id, command) ->
                LogEntryBody(Term(term), LogPosition(index + 1L), id, listOf(command))
            }
        return LogBody(TargetId("g-$term-$role"), GroupId("g"), role, Term(term), bodies)
    }

    fun evidence(attempts: List<Attempt>, logs: List<LogBody>, right: OrganisationRight? = null, killedMillis: Long? = null): Evidence {
        val faults = killedMillis?.let { persistentListOf(FaultMark(it, "g", "killed", killsPrimary = true)) } ?: persistentListOf()
        return Evidence(History(attempts.toPersistentList(), faults), logs, listOfNotNull(right))
    }
}
