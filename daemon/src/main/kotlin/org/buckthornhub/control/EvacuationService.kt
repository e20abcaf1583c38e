package org.buckthornhub.control

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapError
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.http.HttpMethod
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.PeerJson
import org.buckthornhub.http.Route

/** Starts, ends and shows evacuations of availability zones. Works on any control VM, through the leader. */
public class EvacuationService internal constructor(
    private val control: ControlLog,
    private val leader: ControlClient,
) {
    /** Commits that [zone] is evacuated or not; [EvacuationResult.Accepted] means that this is durable on a majority. */
    public suspend fun order(zone: ZoneId, isEvacuated: Boolean): EvacuationResult {
        val error = Evacuations.errorIn(zone)
        if (error != null) return EvacuationResult.Invalid(error)
        val known = control.state.current().evacuations.revision
        val result = withTimeoutOrNull(ORDER_TIMEOUT_MILLIS) { commit(zone, isEvacuated, known) }
            ?: EvacuationResult.Unavailable("no majority answered within $ORDER_TIMEOUT_MILLIS ms")
        val what = "${if (isEvacuated) "evacuation" else "end of the evacuation"} of zone $zone"
        if (result is EvacuationResult.Accepted) {
            logger.info { "$what: stored on a majority" }
        } else {
            logger.warn { "$what: $result" }
        }
        return result
    }

    /** Returns the committed evacuations, or [EvacuationResult.Unavailable] if no majority confirms that they are the newest. */
    public suspend fun current(): EvacuationResult {
        if (control.leadership.current().isLeader) return confirmed()
        val reply = leader.post(PATH, "{}", READ_TIMEOUT_MILLIS).getOrElse { return EvacuationResult.Unavailable(it.detail) }
        if (!reply.isSuccess) return EvacuationResult.Unavailable("the control leader replied with status ${reply.status}")
        return decode(reply.body) { EvacuationResult.Current(PeerJson.decodeFromString(Evacuations.serializer(), it)) }
            .getOrElse { EvacuationResult.Unavailable(it) }
    }

    internal fun routes(): List<Route> = listOf(Route(HttpMethod.Post, PATH, LeaderGuard(control.leadership).guard { replyWithCurrent() }))

    // Repeats the order until a leader has answered, as one may just have been lost. A repetition has the same expected revision, so
    // that it changes nothing once the opposite was ordered.
    private suspend fun commit(zone: ZoneId, isEvacuated: Boolean, known: Long): EvacuationResult {
        var expected = known
        while (true) {
            val result = propose(ControlCommand.SetEvacuation(zone, isEvacuated, expected))
            when (val outcome = result.get()) {
                is CommandOutcome.Accepted -> return EvacuationResult.Accepted
                is CommandOutcome.Invalid -> return EvacuationResult.Refused(outcome.faults.joinToString("; "))
                // This VM knew of fewer orders than the leader.
                is CommandOutcome.Conflict -> expected = (current() as? EvacuationResult.Current)?.evacuations?.revision ?: expected
                null -> logger.info { "the order to zone $zone is repeated: ${result.getError()}" }
            }
            delay(RETRY_MILLIS)
        }
    }

    private suspend fun propose(command: ControlCommand): Result<CommandOutcome, String> {
        if (control.leadership.current().isLeader) {
            return withTimeoutOrNull(ATTEMPT_TIMEOUT_MILLIS) { control.propose(command).mapError { it.detail } }
                ?: Err("no majority answered this VM, which leads")
        }
        val body = PeerJson.encodeToString(ControlCommand.serializer(), command)
        val reply = leader.post(ControlRoutes.PROPOSE, body, ATTEMPT_TIMEOUT_MILLIS).getOrElse { return Err(it.detail) }
        if (!reply.isSuccess) return Err("the control leader replied with status ${reply.status}")
        return decode(reply.body) { PeerJson.decodeFromString(CommandOutcome.serializer(), it) }
    }

    private fun <T> decode(body: String, read: (String) -> T): Result<T, String> = try {
        Ok(read(body))
    } catch (e: IllegalArgumentException) {
        Err("undecodable reply of the control leader: ${e.message.orEmpty().lineSequence().first()}")
    }

    private suspend fun replyWithCurrent(): HttpReply = when (val result = confirmed()) {
        is EvacuationResult.Current -> HttpReply(OK, PeerJson.encodeToString(Evacuations.serializer(), result.evacuations))
        else -> HttpReply(UNAVAILABLE, "{}")
    }

    private suspend fun confirmed(): EvacuationResult {
        val isConfirmed = withTimeoutOrNull(READ_TIMEOUT_MILLIS) { control.confirmLeadership().isOk } ?: false
        if (!isConfirmed) return EvacuationResult.Unavailable("leadership not confirmed by a majority within $READ_TIMEOUT_MILLIS ms")
        return EvacuationResult.Current(control.state.current().evacuations)
    }

    private companion object {
        const val PATH = "/internal/control/evacuations"

        /** Less than the second after which callers try another VM; in ms. */
        const val ORDER_TIMEOUT_MILLIS = 900L

        /** Several times the duration of a commit; leaves time for a second attempt, at a leader that was elected meanwhile. In ms. */
        const val ATTEMPT_TIMEOUT_MILLIS = 400L
        const val READ_TIMEOUT_MILLIS = 400L

        /** A small part of an election; in ms. */
        const val RETRY_MILLIS = 50L
        const val OK = 200
        const val UNAVAILABLE = 503
        val logger = KotlinLogging.logger {}
    }
}
