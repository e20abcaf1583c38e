package org.buckthornhub.target.owner

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Position
import org.buckthornhub.group.Term
import org.buckthornhub.repeat.RequestKey
import org.buckthornhub.statement.Answer
import org.buckthornhub.statement.Operation
import org.buckthornhub.statement.Statement
import org.buckthornhub.statement.isRead
import org.buckthornhub.target.TargetCall
import org.buckthornhub.target.TargetId

/** Immutable model of a target: a log of statement texts, the ids of the logged requests, and the open transaction of each connection. */
internal data class ModelTarget(
    val target: TargetId = TargetId("p"),
    val term: Term = Term(1),
    val slots: Int = 3,
    val log: List<String> = emptyList(),
    val requests: Set<RequestKey> = emptySet(),
    val connections: Map<String, List<String>?> = emptyMap(),
    val openedCount: Int = 0,
    val maxConnections: Int = 0,
) {
    val position: Position get() = Position(term, LogPosition(log.size.toLong()))

    /** Opens a connection and returns its name; null if no slot is free. */
    fun connect(): Pair<ModelTarget, String?> {
        if (connections.size >= slots) return this to null
        val name = "c${openedCount + 1}"
        val next = copy(
            connections = connections + (name to null),
            openedCount = openedCount + 1,
            maxConnections = maxOf(
                maxConnections,
                connections.size + 1,
            ),
        )
        return next to name
    }

    fun disconnect(name: String): ModelTarget = copy(connections = connections - name)

    fun execute(name: String, call: TargetCall): Pair<ModelTarget, Result<Answer, ProxyError>> {
        if (name !in connections) return this to Err(ProxyError(ErrorKind.NO_TARGET, "no connection $name"))
        val open = connections[name]
        return when (val operation = call.operation) {
            is Operation.Run -> if (operation.isRead()) {
                this to answer(
                    log.joinToString(","),
                )
            } else {
                append(call, listOf(operation.statement.text))
            }
            is Operation.Begin -> begin(name, open)
            is Operation.RunInTransaction -> inTransaction(name, open, operation.statement)
            is Operation.Commit -> commit(name, open, call)
            is Operation.RollBack -> copy(connections = connections + (name to null)).let { it to it.answer(null) }
        }
    }

    private fun begin(name: String, open: List<String>?): Pair<ModelTarget, Result<Answer, ProxyError>> {
        check(open == null) { "a transaction began on a connection that already has an open one" }
        return copy(connections = connections + (name to emptyList())).let { it to it.answer(null) }
    }

    private fun inTransaction(name: String, open: List<String>?, statement: Statement): Pair<ModelTarget, Result<Answer, ProxyError>> {
        checkNotNull(open) { "a statement of a transaction ran on a connection without an open transaction" }
        return copy(connections = connections + (name to open + statement.text)).let { it to it.answer(null) }
    }

    private fun commit(name: String, open: List<String>?, call: TargetCall): Pair<ModelTarget, Result<Answer, ProxyError>> {
        checkNotNull(open) { "a commit ran on a connection without an open transaction" }
        return copy(connections = connections + (name to null)).append(call, open)
    }

    private fun append(call: TargetCall, texts: List<String>): Pair<ModelTarget, Result<Answer, ProxyError>> {
        val key = keyOf(call)
        if (key in requests) return this to Err(ProxyError(ErrorKind.ALREADY_RAN, "the log already contains request ${key.requestId}"))
        return copy(log = log + texts.joinToString("+"), requests = requests + key).let { it to it.answer(null) }
    }

    private fun answer(value: String?) = Ok(Answer(value, position, target, fromReplica = false))
}
