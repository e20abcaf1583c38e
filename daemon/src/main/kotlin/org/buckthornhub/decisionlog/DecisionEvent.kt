package org.buckthornhub.decisionlog

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.buckthornhub.connection.AttemptFailure
import org.buckthornhub.error.ProxyError
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.routetable.DatabaseName
import org.buckthornhub.routetable.ReadGuarantee
import org.buckthornhub.statement.RequestId
import org.buckthornhub.target.TargetId

/** A logged decision with the values that led to it. Times are in ms. */
public sealed interface DecisionEvent {
    public val name: String

    /** Values that led to the decision, by name; they are written unchanged. */
    public val fields: Map<String, Any?>

    /** True for events of normal operation, which are dropped first under load. */
    public val isRoutine: Boolean get() = false

    /** Attempts to run the statement that failed, in order. */
    public val attempts: List<AttemptFailure> get() = emptyList()

    /**
     * A statement failed or was refused.
     *
     * @property guarantee read guarantee of the route; null if no route matches [database]
     * @property tableVersion version of the route table, which was last confirmed [tableAgeMillis] ago
     */
    public data class RequestFailed(
        val id: RequestId?,
        val database: DatabaseName,
        val guarantee: ReadGuarantee?,
        val organisation: OrganisationId?,
        val error: ProxyError,
        val tookMillis: Long,
        val tableVersion: Long?,
        val tableAgeMillis: Long?,
        override val attempts: PersistentList<AttemptFailure> = persistentListOf(),
    ) : DecisionEvent {
        override val name: String get() = REQUEST_FAILED
        override val fields: Map<String, Any?> get() = mapOf(
            "request" to id?.value,
            "database" to database.value,
            "organisation" to organisation?.value,
            "kind" to error.kind,
            "detail" to error.detail,
            "retry_after_ms" to error.retryAfterMillis,
            "took_ms" to tookMillis,
            "table_version" to tableVersion,
            "table_age_ms" to tableAgeMillis,
            "attempts" to textOf(attempts),
        )
    }

    /**
     * A statement was served.
     *
     * @property guarantee read guarantee of the route; null if the route has been removed since
     * @property waitedMillis wait for a connection to [target]; null inside a transaction
     * @property attempts the attempts before the one that served it
     */
    public data class RequestServed(
        val id: RequestId,
        val database: DatabaseName,
        val guarantee: ReadGuarantee?,
        val tookMillis: Long,
        val target: TargetId? = null,
        val waitedMillis: Long? = null,
        override val attempts: PersistentList<AttemptFailure> = persistentListOf(),
    ) : DecisionEvent {
        override val name: String get() = REQUEST_SERVED
        override val fields: Map<String, Any?> get() = mapOf(
            "request" to id.value,
            "database" to database.value,
            "took_ms" to tookMillis,
            "target" to target?.value,
            "waited_ms" to waitedMillis,
            "attempts" to textOf(attempts),
        )
        override val isRoutine: Boolean get() = true
    }

    /** A caller's transaction was rolled back because it was idle for too long. */
    public data class TransactionExpired(
        val database: DatabaseName,
        val idleMillis: Long,
    ) : DecisionEvent {
        override val name: String get() = "transaction-expired"
        override val fields: Map<String, Any?> get() = mapOf("database" to database.value, "idle_ms" to idleMillis)
    }

    public companion object {
        public const val REQUEST_FAILED: String = "request-failed"
        public const val REQUEST_SERVED: String = "request-served"

        private fun textOf(attempts: List<AttemptFailure>): String? = attempts.ifEmpty { null }?.joinToString("; ")
    }
}
