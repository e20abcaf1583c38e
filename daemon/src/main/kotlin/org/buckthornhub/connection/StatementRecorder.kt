package org.buckthornhub.connection

import kotlinx.collections.immutable.persistentListOf
import org.buckthornhub.coordination.ProxyView
import org.buckthornhub.decisionlog.DecisionEvent
import org.buckthornhub.error.ProxyError
import org.buckthornhub.statement.RequestId

/** Records what became of statements, with the state of the daemon that decided it. Times are local monotonic ms. */
internal class StatementRecorder(private val environment: SessionEnvironment) {
    /** @param served null if the statement ran in a transaction */
    fun recordServed(id: RequestId, caller: CallerIdentity, startedMillis: Long, served: ServedStatement?) {
        environment.decisions.record(
            DecisionEvent.RequestServed(
                id = id,
                database = caller.database,
                guarantee = guaranteeOf(caller, environment.view.value),
                tookMillis = environment.clock.nowMillis() - startedMillis,
                target = served?.outcome?.lease?.instance?.target,
                waitedMillis = served?.outcome?.lease?.waitedMillis,
                attempts = served?.failedAttempts ?: persistentListOf(),
            ),
        )
    }

    /** @param told error that the caller was sent, with the time of its return */
    fun recordFailed(id: RequestId?, caller: CallerIdentity, startedMillis: Long, failure: StatementFailure, told: ProxyError) {
        val view = environment.view.value
        environment.decisions.record(
            DecisionEvent.RequestFailed(
                id = id,
                database = caller.database,
                guarantee = guaranteeOf(caller, view),
                organisation = view.table?.holderOf(caller.key)?.organisation,
                error = told,
                tookMillis = environment.clock.nowMillis() - startedMillis,
                tableVersion = view.table?.version,
                tableAgeMillis = view.ageMillis(environment.clock),
                attempts = failure.attempts,
            ),
        )
    }

    private fun guaranteeOf(caller: CallerIdentity, view: ProxyView) = view.table?.routes?.get(caller.database)?.guarantee
}
