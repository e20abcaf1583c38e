package org.buckthornhub.target.owner

import org.buckthornhub.group.GroupId
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Position
import org.buckthornhub.group.Term
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.statement.Access
import org.buckthornhub.statement.Operation
import org.buckthornhub.statement.RequestId
import org.buckthornhub.statement.Statement
import org.buckthornhub.statement.TransactionId
import org.buckthornhub.target.TargetCall
import org.buckthornhub.target.TargetId

/** Builds target calls for the tests. */
internal object Calls {
    private val group = GroupId("g")

    fun write(text: String, id: String = text, organisation: String = "o", deadlineMillis: Long = 4_000): TargetCall =
        call(Operation.Run(statement(Access.WRITE, text)), id, organisation).copy(deadlineMillis = deadlineMillis)

    fun read(index: Long = 0, ageMillis: Long? = null, waitMillis: Long = 10): TargetCall {
        val needed = if (index == 0L) Position.START else Position(Term(1), LogPosition(index))
        val statement = statement(Access.READ, "get x").copy(acceptedAgeMillis = ageMillis)
        return call(Operation.Run(statement), "read").copy(position = needed, waitMillis = waitMillis)
    }

    fun begin(id: String = "b", organisation: String = "o"): TargetCall = call(Operation.Begin(group), id, organisation)

    fun inTransaction(transaction: String, text: String, organisation: String = "o", id: String = "$transaction-$text"): TargetCall =
        call(Operation.RunInTransaction(TransactionId(transaction), statement(Access.WRITE, text)), id, organisation)

    fun commit(transaction: String, organisation: String = "o", id: String = "commit-$transaction"): TargetCall =
        call(Operation.Commit(group, TransactionId(transaction)), id, organisation)

    fun rollBack(transaction: String): TargetCall = call(Operation.RollBack(group, TransactionId(transaction)), "rollback-$transaction")

    private fun statement(access: Access, text: String) = Statement(group, access, text, repeatable = false)

    private fun call(operation: Operation, id: String, organisation: String = "o") =
        TargetCall(TargetId("p"), operation, RequestId(id), OrganisationId(organisation), Position.START, deadlineMillis = 4_000)
}
