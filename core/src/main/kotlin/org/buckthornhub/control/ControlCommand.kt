package org.buckthornhub.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.group.Term
import org.buckthornhub.organisation.GrantList
import org.buckthornhub.organisation.KeyDigest
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.organisation.PlanList
import org.buckthornhub.routetable.StoredRouteTable

/** The closed list of entries in the log of the control quorum. */
@Serializable
public sealed interface ControlCommand {
    /** Replaces the list of plans; its number has to be one more than the current one. */
    @Serializable
    @SerialName("change-plans")
    public data class ChangePlans(
        val changeId: ChangeId,
        val plans: PlanList,
    ) : ControlCommand

    /** Replaces the list of grants; its number has to be one more than the current one. */
    @Serializable
    @SerialName("change-grants")
    public data class ChangeGrants(
        val changeId: ChangeId,
        val grants: GrantList,
    ) : ControlCommand

    /** Gives a key, of which only the digest is known here. */
    @Serializable
    @SerialName("give-key")
    public data class GiveKey(
        val changeId: ChangeId,
        val keyName: String,
        val organisation: OrganisationId,
        val digest: KeyDigest,
    ) : ControlCommand

    /** Withdraws a key for good. */
    @Serializable
    @SerialName("withdraw-key")
    public data class WithdrawKey(val keyName: String) : ControlCommand

    /** Puts [stored] in force if its version is the highest so far; changes nothing otherwise. */
    @Serializable
    @SerialName("replace-route-table")
    public data class ReplaceRouteTable(val stored: StoredRouteTable) : ControlCommand

    /** Sets who leads a group, if its term is still [expected]. */
    @Serializable
    @SerialName("set-leadership")
    public data class SetLeadership(
        val expected: Term,
        val leadership: GroupLeadership,
    ) : ControlCommand

    /** Changes nothing; a new leader commits one to learn what was committed before it. */
    @Serializable
    @SerialName("no-op")
    public data object NoOp : ControlCommand
}
