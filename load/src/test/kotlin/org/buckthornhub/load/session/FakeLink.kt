package org.buckthornhub.load.session

import kotlinx.coroutines.delay
import org.buckthornhub.clock.Clock
import org.buckthornhub.load.history.Outcome

/** Gives [outcomes] in turn, each 5 ms after the statement; an answer that serves brings the token `tN` for attempt N. */
internal class FakeLink(
    private val outcomes: List<Outcome>,
    private val clock: Clock,
) : CallerLink {
    var tokens: List<String?> = emptyList()
        private set

    override suspend fun send(statement: LoadStatement, token: String?): LinkAnswer {
        val sentMillis = clock.nowMillis()
        tokens = tokens + token
        delay(5)
        val outcome = outcomes.getOrElse(tokens.size - 1) { Outcome.Served(null, fromReplica = false) }
        return LinkAnswer("d1", sentMillis, clock.nowMillis(), outcome, if (outcome is Outcome.Served) "t${tokens.size}" else null)
    }
}
