package org.buckthornhub.control

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import org.buckthornhub.decision.Decider
import org.buckthornhub.decision.Decision
import org.buckthornhub.organisation.Configuration

/** Keeps the newest control state of a daemon: never replaces it by an older revision, and switches away from stale sources. */
public class FeedDecider : Decider<FeedState, FeedMessage, FeedEffect> {
    override fun decide(state: FeedState, message: FeedMessage, nowMillis: Long): Decision<FeedState, FeedEffect> = when (message) {
        is FeedMessage.Start -> ask(state, delayMillis = 0)
        is FeedMessage.AnswerReceived -> if (message.attempt == state.attempt) answered(state, message, nowMillis) else Decision(state)
        is FeedMessage.Failed -> if (message.attempt == state.attempt) failed(state) else Decision(state)
        is FeedMessage.PeersChanged -> changePeers(state, message.addresses)
        is FeedMessage.Withdraw -> withdraw(state, message.keyNames)
        is FeedMessage.WithdrawalRejected -> dropRejected(state, message.keyNames)
        is FeedMessage.RetryRecording -> retryRecording(state)
    }

    private fun answered(state: FeedState, message: FeedMessage.AnswerReceived, nowMillis: Long): Decision<FeedState, FeedEffect> {
        val answer = message.answer
        val received = receive(state, message, nowMillis)
        val freshMillis = freshMillisOf(message, nowMillis)
        val isStale = freshMillis == null || nowMillis - freshMillis > STALE_MILLIS
        val merged = withdraw(received, answer.withdrawn.orEmpty())
        val next = if (isStale) merged.state.copy(sourceIndex = state.sourceIndex + 1) else merged.state
        // Delays the next request if a stale source answered immediately, to avoid a busy loop.
        val asked = ask(next, delayMillis = if (isStale && answer.heldMillis < RETRY_MILLIS) RETRY_MILLIS else 0)
        val events = withdrawnSince(state.configuration, asked.state.configuration)
        // Withdrawals that the quorum has recorded are removed from the local file.
        val isRecorded = !asked.state.withdrawn.containsAll(state.withdrawn)
        val saved = if (isRecorded) listOf(FeedEffect.SaveWithdrawn(asked.state.withdrawn)) else emptyList()
        return Decision(
            asked.state,
            persistentListOf<FeedEffect>().addAll(events).addAll(saved).addAll(merged.effects - events.toSet()).addAll(asked.effects),
        )
    }

    private fun receive(state: FeedState, message: FeedMessage.AnswerReceived, nowMillis: Long): FeedState {
        val answer = message.answer
        val known = state.view.state
        val offered = answer.snapshot ?: answer.delta?.let { ControlDeltas.apply(known, it) }
        val newer = offered?.takeIf { it.revision > known.revision } ?: known
        // A source with an older revision does not confirm the newer local state.
        val freshMillis = freshMillisOf(message, nowMillis)?.takeIf { answer.revision >= newer.revision }
        val view = ReplicatedView(newer, listOfNotNull(state.view.freshMillis, freshMillis).maxOrNull())
        if (newer === known) return state.copy(view = view)
        val history = state.history.put(known.revision, known)
        val kept = if (history.size > KEPT_REVISIONS) history.remove(history.keys.min()) else history
        return refreshed(state.copy(view = view, history = kept))
    }

    // Computed from the time of the request, so that network delay can only make the state appear older.
    private fun freshMillisOf(message: FeedMessage.AnswerReceived, nowMillis: Long): Long? {
        val ageMillis = message.answer.ageMillis?.takeIf { it >= 0 } ?: return null
        return message.askedMillis + message.answer.heldMillis.coerceIn(0, (nowMillis - message.askedMillis).coerceAtLeast(0)) - ageMillis
    }

    private fun failed(state: FeedState): Decision<FeedState, FeedEffect> =
        ask(state.copy(sourceIndex = state.sourceIndex + 1), delayMillis = RETRY_MILLIS)

    private fun ask(state: FeedState, delayMillis: Long): Decision<FeedState, FeedEffect> {
        val source = state.source ?: return Decision(state)
        val next = state.copy(attempt = state.attempt + 1)
        return Decision(next, persistentListOf(FeedEffect.Fetch(next.attempt, source, state.view.state.revision, delayMillis)))
    }

    private fun changePeers(state: FeedState, addresses: List<String>): Decision<FeedState, FeedEffect> {
        val next = state.copy(peers = (addresses - state.control).toPersistentList())
        return if (state.source == null) ask(next, delayMillis = 0) else Decision(next)
    }

    private fun withdraw(state: FeedState, keyNames: Set<String>): Decision<FeedState, FeedEffect> {
        val fresh = keyNames - state.withdrawn - recorded(state)
        if (fresh.isEmpty()) return Decision(state)
        val next = refreshed(state.copy(withdrawn = state.withdrawn.addAll(fresh)))
        val effects = persistentListOf<FeedEffect>(FeedEffect.SaveWithdrawn(next.withdrawn))
        return Decision(next, effects.addAll(withdrawnSince(state.configuration, next.configuration)))
    }

    private fun dropRejected(state: FeedState, keyNames: Set<String>): Decision<FeedState, FeedEffect> {
        val next = refreshed(state.copy(withdrawn = state.withdrawn.removeAll(keyNames)))
        return Decision(next, persistentListOf(FeedEffect.SaveWithdrawn(next.withdrawn)))
    }

    private fun retryRecording(state: FeedState): Decision<FeedState, FeedEffect> =
        if (state.withdrawn.isEmpty()) Decision(state) else Decision(state, persistentListOf(FeedEffect.RecordWithdrawn(state.withdrawn)))

    private fun refreshed(state: FeedState): FeedState {
        val open = (state.withdrawn - recorded(state)).toPersistentSet()
        return state.copy(withdrawn = open, configuration = markWithdrawn(state.view.state.configuration, open))
    }

    private fun recorded(state: FeedState): Set<String> = withdrawnIn(state.view.state.configuration).map { it.keyName }.toSet()

    private fun markWithdrawn(configuration: Configuration, names: Set<String>): Configuration {
        if (names.isEmpty()) return configuration
        return configuration.copy(
            keys = configuration.keys.mapValues { (_, key) ->
                if (key.keyName in
                    names
                ) {
                    key.copy(withdrawn = true)
                } else {
                    key
                }
            },
        )
    }

    private fun withdrawnSince(old: Configuration, new: Configuration): List<FeedEffect> {
        val keys = withdrawnIn(new).toSet() - withdrawnIn(old).toSet()
        return if (keys.isEmpty()) emptyList() else listOf(FeedEffect.KeysWithdrawn(keys))
    }

    private fun withdrawnIn(configuration: Configuration) = configuration.keys.values.filter { it.withdrawn }

    private companion object {
        const val STALE_MILLIS = 1_000L
        const val RETRY_MILLIS = 200L
        const val KEPT_REVISIONS = 256
    }
}
