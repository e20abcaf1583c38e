package org.buckthornhub.connection

import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Position
import org.buckthornhub.group.Term
import org.buckthornhub.organisation.OrganisationId
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

    /** Called with each statement once its answer is made and before the answer arrives. */
    var onAnswer: (TargetStatement) -> Unit = {}
    var ran: List<String> = emptyList()
        private set

    /** Organisations whose connections the statements of [ran] came on, in the same order. */
    var ranFor: List<OrganisationId> = emptyList()
        private set
    var commits = 0
        private set

    /** Transactions that are neither committed nor rolled back, and whose connection is open. */
    var openTransactions = 0
        private set
    val position: Position get() = Position(Term(1), LogPosition(applied))

    fun run(text: String, organisation: OrganisationId) {
        ran = ran + text
        ranFor = ranFor + organisation
    }

    fun transactionBegan() {
        openTransactions += 1
    }

    fun transactionEnded() {
        openTransactions -= 1
    }

    fun commit() {
        commits += 1
        applied += 1
    }
}
