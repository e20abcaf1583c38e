package org.buckthornhub.connection

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.organisation.KeyDigest
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.routetable.DatabaseName
import org.buckthornhub.routetable.RouteTable

/** Decides by a route table alone which organisation a caller's statements run for, and whether begun work may go on for it. */
public object AdmissionRules {
    /** Fails with `DATABASE_UNKNOWN` or `KEY_UNKNOWN`. */
    public fun admit(table: RouteTable, database: DatabaseName, key: KeyDigest): Result<AdmittedCaller, ProxyError> {
        val route = table.routes[database] ?: return Err(ProxyError(ErrorKind.DATABASE_UNKNOWN, "no route for database $database"))
        val holder = table.holderOf(key)?.organisation
        if (holder == null && !route.isAnonymous) return Err(ProxyError(ErrorKind.KEY_UNKNOWN, "no organisation holds this key"))
        return Ok(AdmittedCaller(route, holder ?: OrganisationId.NONE))
    }

    /**
     * Returns why the next statement of a transaction of [organisation] must not run; null if it may.
     *
     * The transaction can't go on for another organisation, since its connection belongs to [organisation].
     */
    public fun refusalInTransaction(organisation: OrganisationId, table: RouteTable, database: DatabaseName, key: KeyDigest): ProxyError? {
        val caller = admit(table, database, key).getOrElse { return it }
        if (caller.organisation == organisation) return null
        return ProxyError(ErrorKind.TRANSACTION_ABORTED, "the key no longer belongs to the organisation that began the transaction")
    }

    /**
     * Returns why a statement that was admitted for [organisation], and of which nothing was sent, must not run; null if it may.
     *
     * A change of its route alone is no reason: it applies to the statements that are admitted after it.
     */
    public fun refusalAfterWait(organisation: OrganisationId, table: RouteTable, database: DatabaseName, key: KeyDigest): ProxyError? {
        val holder = table.holderOf(key)?.organisation ?: OrganisationId.NONE
        if (holder == organisation) return null
        admit(table, database, key).getError()?.let { return it }
        return ProxyError(ErrorKind.QUEUE_FULL, "the holder of the key changed while the statement waited for a connection")
    }
}
