package org.buckthornhub.target.owner

import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.PersistentList
import org.buckthornhub.error.ProxyError
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.routing.PositionSample
import org.buckthornhub.statement.Answer
import org.buckthornhub.statement.TransactionId
import org.buckthornhub.target.TargetCall
import org.buckthornhub.target.TargetEntry

/** Messages to the owner of a target. */
public sealed interface OwnerMessage {
    /** Submits [call]; a transaction that it begins gets the id [newTransaction]. */
    public data class Submit(
        val ticket: Long,
        val call: TargetCall,
        val newTransaction: TransactionId,
    ) : OwnerMessage

    /** The connection of [slot] is open; [name] is its name at the target. */
    public data class Opened(
        val slot: Int,
        val name: String,
    ) : OwnerMessage

    /** The connection of [slot] could not be opened; [isRefused] if the target has no free slot. */
    public data class OpenFailed(
        val slot: Int,
        val isRefused: Boolean,
        val detail: String,
    ) : OwnerMessage

    /** The call [ticket] on the connection of [slot] ended with [result]. */
    public data class Executed(
        val slot: Int,
        val ticket: Long,
        val result: Result<Answer, ProxyError>,
    ) : OwnerMessage

    /** Result of the ping on the connection of [slot]. */
    public data class Pinged(
        val slot: Int,
        val isAnswered: Boolean,
    ) : OwnerMessage

    /** The connection of [slot] is closed. */
    public data class Closed(val slot: Int) : OwnerMessage

    /** The target sent a new announcement. */
    public data class Announced(val entry: TargetEntry) : OwnerMessage

    /** Progress of the target, requested by [OwnerEffect.PollTarget]; null if the target did not answer. */
    public data class TargetProgress(val progress: InstanceProgress?) : OwnerMessage

    /** Progress of the group's other instances, requested by [OwnerEffect.PollGroup]; instances that did not answer are missing. */
    public data class GroupProgress(val progress: PersistentList<InstanceProgress>) : OwnerMessage

    /** The owner of a replica requested samples of this primary. */
    public data object SamplesRequested : OwnerMessage

    /** Progress of the target, requested at [askedMillis]; null if the target did not answer. */
    public data class Sampled(
        val askedMillis: Long,
        val progress: InstanceProgress?,
    ) : OwnerMessage

    /** Samples fetched from the owner of the primary, in local time; empty if that owner can't be reached. */
    public data class SamplesFetched(val samples: PersistentList<PositionSample>) : OwnerMessage

    /** Rolls back every transaction of [organisation]. */
    public data class EndTransactionsOf(val organisation: OrganisationId) : OwnerMessage

    /** The periodic timer of the owner fired. */
    public data object Tick : OwnerMessage
}
