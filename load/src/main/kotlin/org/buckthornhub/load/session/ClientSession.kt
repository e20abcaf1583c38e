package org.buckthornhub.load.session

import kotlinx.coroutines.delay
import org.buckthornhub.clock.Clock
import org.buckthornhub.load.check.MixedTransactionsCheck
import org.buckthornhub.load.history.Attempt
import org.buckthornhub.load.history.Outcome
import org.buckthornhub.load.history.StatementType
import kotlin.math.ln
import kotlin.random.Random

/** One caller: sends statements one after the other, carries its token, and tells [record] how each attempt ended. */
internal class ClientSession(
    private val plan: SessionPlan,
    private val link: CallerLink,
    private val clock: Clock,
    private val random: Random,
    private val record: (Attempt) -> Unit,
) {
    private val statements = StatementSource(plan, random)
    private var state = SessionState()

    /** Runs until [endMillis]. */
    suspend fun run(endMillis: Long) {
        var dueMillis = clock.nowMillis() + pauseMillis()
        while (dueMillis < endMillis) {
            delay(dueMillis - clock.nowMillis())
            val number = state.nextNumber
            state = state.copy(nextNumber = number + 1)
            val statement = statements.next(number)
            if (statement.type == StatementType.BEGIN) runTransaction(statement, endMillis) else sendWithResends(statement, endMillis)
            // A session that fell behind does not make up for it: it has one request at a time.
            dueMillis = maxOf(dueMillis + pauseMillis(), clock.nowMillis())
        }
    }

    // A transaction stays with the daemon that began it; its commit has the request id of the whole.
    private suspend fun runTransaction(begin: LoadStatement, endMillis: Long) {
        val begun = sendWithResends(begin.copy(requestId = stepId(begin, "begin"), value = null), endMillis)
        val transaction = begun.transaction ?: return
        val inside = begin.copy(transaction = transaction, daemon = begun.daemon)
        val steps =
            listOfNotNull(begin.value, begin.value?.plus(SECOND_SUFFIX)).mapIndexed { index, value ->
                inside.copy(requestId = stepId(begin, "$index"), type = StatementType.IN_TRANSACTION, value = value)
            }
        for (step in steps) {
            if (sendWithResends(step, endMillis).outcome !is Outcome.Served) {
                sendWithResends(inside.copy(requestId = stepId(begin, "end"), type = StatementType.ROLL_BACK, value = null), endMillis)
                return
            }
        }
        sendWithResends(inside.copy(type = StatementType.COMMIT), endMillis)
    }

    private fun stepId(begin: LoadStatement, step: String) = "${begin.requestId}${MixedTransactionsCheck.STEP_SEPARATOR}$step"

    private suspend fun sendWithResends(statement: LoadStatement, endMillis: Long): LinkAnswer {
        val limitMillis = minOf(clock.nowMillis() + plan.resendLimitMillis, endMillis)
        while (true) {
            val answer = link.send(statement, state.token)
            record(attemptOf(statement, answer))
            take(answer)
            val pause = resendPauseMillis(answer.outcome) ?: return answer
            if (clock.nowMillis() + pause >= limitMillis) return answer
            delay(pause)
        }
    }

    private fun take(answer: LinkAnswer) {
        val isLossTold = (answer.outcome as? Outcome.Refused)?.kind == Outcome.WRITE_LOST
        state = if (isLossTold) state.copy(token = null, epoch = state.epoch + 1) else state.copy(token = answer.token ?: state.token)
    }

    private fun resendPauseMillis(outcome: Outcome): Long? = when (outcome) {
        is Outcome.Served -> null
        is Outcome.Refused -> if (outcome.mayResend) outcome.retryAfterMillis ?: RESEND_MILLIS else null
        is Outcome.Unanswered -> if (outcome.sent) null else RESEND_MILLIS
    }

    private fun attemptOf(statement: LoadStatement, answer: LinkAnswer): Attempt = Attempt(
        organisation = plan.organisation,
        session = plan.name,
        epoch = state.epoch,
        requestId = statement.requestId,
        group = statement.group,
        type = statement.type,
        key = statement.key,
        value = statement.value,
        daemon = answer.daemon,
        sentMillis = answer.sentMillis,
        endedMillis = answer.endedMillis,
        outcome = answer.outcome,
    )

    // Arrivals at random moments, so that sessions don't march in step.
    private fun pauseMillis(): Long = (-ln(1 - random.nextDouble()) * MILLIS_PER_SECOND / plan.offeredPerSecond).toLong()

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val SECOND_SUFFIX = "-2"
        const val RESEND_MILLIS = 50L
    }
}
