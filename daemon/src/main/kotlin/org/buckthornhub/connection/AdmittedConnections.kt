package org.buckthornhub.connection

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import org.buckthornhub.error.ProxyError
import org.buckthornhub.instancepool.ConnectionRequest
import org.buckthornhub.instancepool.TargetLease

/** Checks out connections for admitted operations, each for the organisation that holds the caller's key when it is handed over. */
internal class AdmittedConnections(private val environment: SessionEnvironment) {
    /** Fails as the pool does, and with `KEY_UNKNOWN` or `QUEUE_FULL` if the organisation lost the key while the operation waited. */
    suspend fun acquire(request: ConnectionRequest, admission: Admission): Result<TargetLease, ProxyError> {
        val acquired = if (environment.pool.adaptsToLoad) {
            environment.pool.acquire(request, admission.waitTerms)
        } else {
            environment.pool.acquire(request, admission.acquireDeadlineMillis)
        }
        val lease = acquired.getOrElse { return Err(it) }
        val refusal = refusalOf(admission) ?: return Ok(lease)
        lease.release()
        return Err(refusal)
    }

    private fun refusalOf(admission: Admission): ProxyError? {
        val table = environment.view.value.table ?: return null
        return AdmissionRules.refusalAfterWait(admission.organisation, table, admission.caller.database, admission.caller.key)
    }
}
