package org.buckthornhub.connection

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import org.buckthornhub.coordination.ProxyView
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.evacuation.EvacuatedRecords
import org.buckthornhub.group.GroupId
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.routetable.RouteTable

/** Admits or rejects callers by a route table that is known to be recent enough to contain every revoked key. */
internal class AdmissionGate(private val environment: SessionEnvironment) {
    private val records = EvacuatedRecords(environment.evacuations)

    /** Returns the route of the caller; fails with `DATABASE_UNKNOWN`, `KEY_UNKNOWN` or `CONFIGURATION_STALE`. */
    suspend fun check(caller: CallerIdentity): Result<Admission, ProxyError> {
        val receivedMillis = environment.clock.nowMillis()
        val table = freshTable().getOrElse { return Err(it) }
        return AdmissionRules.admit(table, caller.database, caller.key).map { Admission(it.route, it.organisation, caller, receivedMillis) }
    }

    /** Returns why the open transaction of [caller], which began for [organisation], must not go on; null if it may. */
    suspend fun refusalInTransaction(caller: CallerIdentity, organisation: OrganisationId): ProxyError? {
        val table = freshTable().getOrElse { return it }
        return AdmissionRules.refusalInTransaction(organisation, table, caller.database, caller.key)
    }

    /** Does [check] and counts one operation against the rate limit of the organisation; may also fail with `RATE_EXCEEDED`. */
    suspend fun admit(caller: CallerIdentity): Result<Admission, ProxyError> {
        val admission = check(caller).getOrElse { return Err(it) }
        evacuationError(admission.route.group)?.let { return Err(it) }
        val view = environment.view.value
        val access = view.table?.organisations?.get(admission.organisation) ?: return Ok(admission)
        val tolerance = environment.settings.tolerance
        val retryAfterMillis =
            environment.rateLimiter.admit(access.organisation, view.rateOf(access, tolerance), view.fallbackOf(access, tolerance))
                ?: return Ok(admission)
        return Err(ProxyError(ErrorKind.RATE_EXCEEDED, "organisation ${access.organisation} has exceeded its rate limit", retryAfterMillis))
    }

    // Answers the load on a group without instances elsewhere: its callers are told at once instead of after a wait for a primary.
    private fun evacuationError(group: GroupId): ProxyError? {
        val view = environment.view.value
        if (view.evacuatedSince.isEmpty()) return null
        if (!records.areAllDrained(view.directory.records.values.filter { it.group == group })) return null
        return ProxyError(ErrorKind.NO_PRIMARY, "all instances of group $group are in evacuated zones", EVACUATED_RETRY_MILLIS)
    }

    private suspend fun freshTable(): Result<RouteTable, ProxyError> {
        val view = environment.view.value.takeIf { isFresh(it) }
            ?: withTimeoutOrNull(environment.settings.freshWaitMillis) { environment.view.first { isFresh(it) } }
        val table = view?.table
        if (table != null) return Ok(table)
        val ageMillis = environment.view.value.ageMillis(environment.clock)
        return Err(
            ProxyError(
                ErrorKind.CONFIGURATION_STALE,
                "no majority of the control quorum has confirmed the configuration for $ageMillis ms",
                environment.fixedReturn(STALE_RETRY_MILLIS),
            ),
        )
    }

    private fun isFresh(view: ProxyView): Boolean =
        view.table != null && view.isFresh(environment.clock, environment.settings.keyFreshMillis)

    private companion object {
        /** An evacuation lasts for much longer than this; in ms. */
        const val EVACUATED_RETRY_MILLIS = 2_000L

        /** About the duration of an election. */
        const val STALE_RETRY_MILLIS = 1_000L
    }
}
