package org.buckthornhub.load.session

import com.github.michaelbull.result.mapBoth
import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationException
import org.buckthornhub.caller.wire.AnswerBody
import org.buckthornhub.caller.wire.ErrorBody
import org.buckthornhub.caller.wire.StatementBody
import org.buckthornhub.caller.wire.TransactionBody
import org.buckthornhub.clock.Clock
import org.buckthornhub.error.Execution
import org.buckthornhub.group.GroupId
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.PeerJson
import org.buckthornhub.http.WireJson
import org.buckthornhub.load.history.Outcome
import org.buckthornhub.load.history.StatementType
import org.buckthornhub.statement.Access
import org.buckthornhub.statement.RequestId
import kotlin.random.Random

/**
 * Sends each statement to any of the daemons.
 *
 * @param delayMillis network delay between clients and daemons, one way
 */
internal class ProxyLink(
    private val daemons: List<Pair<String, HttpLink>>,
    private val key: String?,
    private val delayMillis: Long,
    private val deadlineMillis: Long,
    private val random: Random,
    private val clock: Clock,
) : CallerLink {
    private val headers = key?.let { mapOf("Authorization" to "Bearer $it") }.orEmpty()

    override suspend fun send(statement: LoadStatement, token: String?): LinkAnswer {
        val (daemon, link) = daemons.firstOrNull { it.first == statement.daemon } ?: daemons[random.nextInt(daemons.size)]
        val sentMillis = clock.nowMillis()
        delay(delayMillis)
        val result = link.post(pathOf(statement), bodyOf(statement, token), deadlineMillis + TIMEOUT_MARGIN_MILLIS, headers)
        delay(delayMillis)
        val answered = LinkAnswer(daemon, sentMillis, clock.nowMillis(), Outcome.Unanswered(sent = true))
        return result.mapBoth(
            success = { read(it, answered) },
            failure = { answered.copy(outcome = Outcome.Unanswered(it.sent)) },
        )
    }

    private fun read(reply: HttpReply, answered: LinkAnswer): LinkAnswer = try {
        if (reply.isSuccess) {
            val body = PeerJson.decodeFromString(AnswerBody.serializer(), reply.body)
            answered.copy(
                outcome = Outcome.Served(body.value, body.fromReplica),
                token = body.session,
                transaction = body.transaction?.value,
            )
        } else {
            answered.copy(outcome = refusalOf(PeerJson.decodeFromString(ErrorBody.serializer(), reply.body)))
        }
    } catch (e: SerializationException) {
        answered
    }

    private fun refusalOf(body: ErrorBody): Outcome.Refused = Outcome.Refused(
        kind = body.kind.name,
        mayResend = body.repeatMayHelp && body.execution == Execution.NOT_RUN,
        retryAfterMillis = body.retryAfterMillis,
    )

    private fun pathOf(statement: LoadStatement): String = when (statement.type) {
        StatementType.READ, StatementType.APPEND, StatementType.INSERT -> "/v1/statements"
        StatementType.BEGIN -> "/v1/transactions"
        StatementType.IN_TRANSACTION -> "/v1/transactions/${statement.transaction}/statements"
        StatementType.COMMIT -> "/v1/transactions/${statement.transaction}/commit"
        StatementType.ROLL_BACK -> "/v1/transactions/${statement.transaction}/rollback"
    }

    private fun bodyOf(statement: LoadStatement, token: String?): String = when (statement.type) {
        StatementType.BEGIN, StatementType.COMMIT, StatementType.ROLL_BACK -> {
            val body = TransactionBody(GroupId(statement.group), RequestId(statement.requestId), deadlineMillis, token)
            WireJson.encodeToString(TransactionBody.serializer(), body)
        }
        else -> statementBody(statement, token)
    }

    private fun statementBody(statement: LoadStatement, token: String?): String {
        val body =
            StatementBody(
                group = GroupId(statement.group),
                access = if (statement.type == StatementType.READ) Access.READ else Access.WRITE,
                text = statement.text,
                requestId = RequestId(statement.requestId),
                acceptedAgeMillis = statement.acceptedAgeMillis,
                deadlineMillis = deadlineMillis,
                session = token,
            )
        return WireJson.encodeToString(StatementBody.serializer(), body)
    }

    private companion object {
        const val TIMEOUT_MARGIN_MILLIS = 1_000L
    }
}
