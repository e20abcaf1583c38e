package org.buckthornhub.connection

import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.instancepool.waiting.HoldKind
import org.buckthornhub.instancepool.waiting.ReturnCause
import org.buckthornhub.instancepool.waiting.WaitTerms
import org.buckthornhub.routetable.ReadGuarantee

/** Tells refused callers when to return, from the measured load. */
internal class RefusalReturns(private val environment: SessionEnvironment) {
    /** Returns [error] with the time after which [caller] is to return; unchanged where that time is fixed or known already. */
    suspend fun timed(error: ProxyError, caller: CallerIdentity): ProxyError {
        if (!environment.pool.adaptsToLoad || error.retryAfterMillis != null) return error
        val cause = causeOf(error.kind) ?: return error
        val route = environment.view.value.table?.routes?.get(caller.database)
            ?: return error.copy(retryAfterMillis = NO_ROUTE_RETRY_MILLIS)
        val needsPrimary = cause is ReturnCause.NoPrimary || route.guarantee is ReadGuarantee.Latest
        val kind = HoldKind(route.group, needsPrimary).takeUnless { cause is ReturnCause.StaleConfiguration }
        val maxMillis = WaitTerms(0, 0, route.objectiveMillis, route.statementTimeoutMillis, hasBegun = false).maxReturnMillis
        return error.copy(retryAfterMillis = environment.pool.returnAfter(kind, cause, maxMillis))
    }

    private fun causeOf(kind: ErrorKind): ReturnCause? = when (kind) {
        ErrorKind.QUEUE_FULL, ErrorKind.NO_TARGET, ErrorKind.REPLICA_BEHIND -> ReturnCause.Busy
        ErrorKind.NO_PRIMARY -> ReturnCause.NoPrimary
        ErrorKind.CONFIGURATION_STALE -> ReturnCause.StaleConfiguration(staleMillis())
        else -> null
    }

    private fun staleMillis(): Long {
        val ageMillis = environment.view.value.ageMillis(environment.clock) ?: 0
        return (ageMillis - environment.settings.keyFreshMillis).coerceAtLeast(0)
    }

    private companion object {
        /** While no route table is known, nothing says what a caller can use; about the duration of an election. */
        const val NO_ROUTE_RETRY_MILLIS = 1_000L
    }
}
