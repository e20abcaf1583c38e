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

/** What the owner of a target is told. */
public sealed interface OwnerMessage {
    /** Runs [call]; a begin gets [newTransaction] as its id. */
    public data class Submit(
        val ticket: Long,
        val call: TargetCall,
        val newTransaction: TransactionId,
    ) : OwnerMessage

    /** The connection of [slot] is open; the target calls it [name]. */
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

    /** The call named [ticket] came back from the connection of [slot]. */
    public data class Executed(
        val slot: Int,
        val ticket: Long,
        val result: Result<Answer, ProxyError>,
    ) : OwnerMessage

    /** The connection of [slot] was asked whether it still answers. */
    public data class Pinged(
        val slot: Int,
        val isAnswered: Boolean,
    ) : OwnerMessage

    /** The connection of [slot] is closed. */
    public data class Closed(val slot: Int) : OwnerMessage

    /** The target announced itself anew. */
    public data class Announced(val entry: TargetEntry) : OwnerMessage

    /** The target was asked how far it is; null if it gave no answer. */
    public data class TargetHeard(val progress: InstanceProgress?) : OwnerMessage

    /** Other instances of the group were asked how far they are; those that gave no answer are missing. */
    public data class GroupHeard(val progress: PersistentList<InstanceProgress>) : OwnerMessage

    /** The owner of a replica wants samples of this primary. */
    public data object SamplesAsked : OwnerMessage

    /** The target was asked at [askedMillis] how far it is; null if it gave no answer. */
    public data class Sampled(
        val askedMillis: Long,
        val progress: InstanceProgress?,
    ) : OwnerMessage

    /** Samples of the primary, in local time; empty if its owner can't be reached. */
    public data class SamplesHeard(val samples: PersistentList<PositionSample>) : OwnerMessage

    /** Rolls back every transaction of [organisation]. */
    public data class EndTransactionsOf(val organisation: OrganisationId) : OwnerMessage

    /** Time has passed. */
    public data object Tick : OwnerMessage
}
