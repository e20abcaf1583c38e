package org.buckthornhub.promotion

/** Why a group changes its primary; shown by `explain` and in logs. */
public enum class PromotionReason {
    /** The group has no recorded primary yet. */
    FIRST,

    /** The owner of the primary can't reach it. */
    UNREACHABLE,

    /** The owner of the primary has stopped renewing its leases. */
    OWNER_SILENT,

    /** The target reports that it is a replica in the committed term or a newer one. */
    NOT_PRIMARY,

    /** The chosen target did not confirm its promotion in time. */
    ORDER_REFUSED,

    /** The primary announced its shutdown. */
    LEAVING,

    /** An operator requested a switchover. */
    OPERATOR,

    /** An earlier control leader committed the change but did not complete it. */
    RESUMED,
}
