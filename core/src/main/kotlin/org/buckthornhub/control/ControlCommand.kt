package org.buckthornhub.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.group.Term
import org.buckthornhub.organisation.GrantList
import org.buckthornhub.organisation.KeyDigest
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.organisation.PlanList
import org.buckthornhub.routetable.StoredRouteTable
import org.buckthornhub.target.TargetId

/** Command in the replicated log of the control quorum. */
@Serializable
public sealed interface ControlCommand {
    /** Replaces the list of plans; its number must be one above the current one. */
    @Serializable
    @SerialName("change-plans")
    public data class ChangePlans(
        val changeId: ChangeId,
        val plans: PlanList,
    ) : ControlCommand

    /** Replaces the list of grants; its number must be one above the current one. */
    @Serializable
    @SerialName("change-grants")
    public data class ChangeGrants(
        val changeId: ChangeId,
        val grants: GrantList,
    ) : ControlCommand

    /** Issues a key to an organisation. Only the digest of the key is stored. */
    @Serializable
    @SerialName("give-key")
    public data class GiveKey(
        val changeId: ChangeId,
        val keyName: String,
        val organisation: OrganisationId,
        val digest: KeyDigest,
    ) : ControlCommand

    /** Withdraws a key permanently. */
    @Serializable
    @SerialName("withdraw-key")
    public data class WithdrawKey(val keyName: String) : ControlCommand

    /** Activates [stored] if its version is the highest so far; otherwise changes nothing. */
    @Serializable
    @SerialName("replace-route-table")
    public data class ReplaceRouteTable(val stored: StoredRouteTable) : ControlCommand

    /** Sets the primary of a group, if the term of the group is still [expected]. */
    @Serializable
    @SerialName("set-leadership")
    public data class SetLeadership(
        val expected: Term,
        val leadership: GroupLeadership,
    ) : ControlCommand

    /** Makes [target] the only instance that may lead [group], if the group has been designated [expected] times so far. */
    @Serializable
    @SerialName("designate-primary")
    public data class DesignatePrimary(
        val group: GroupId,
        val target: TargetId,
        val expected: Long,
    ) : ControlCommand

    /**
     * Starts or ends the evacuation of [zone], if there were [expected] changes of evacuations so far; a state that is already in
     * force is accepted in any case.
     *
     * A resend that arrives after the opposite order therefore does not undo that order.
     */
    @Serializable
    @SerialName("set-evacuation")
    public data class SetEvacuation(
        val zone: ZoneId,
        val isEvacuated: Boolean,
        val expected: Long,
    ) : ControlCommand

    /** Changes nothing. */
    @Serializable
    @SerialName("no-op")
    public data object NoOp : ControlCommand
}
