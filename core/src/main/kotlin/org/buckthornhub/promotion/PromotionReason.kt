package org.buckthornhub.promotion

/** Why a group changes its primary; for `explain` and logs. */
public enum class PromotionReason {
    /** The group has no recorded primary yet. */
    FIRST,

    /** The owner can't reach the primary. */
    UNREACHABLE,

    /** Nobody who owns the primary is heard of. */
    OWNER_SILENT,

    /** The target no longer claims to be the primary. */
    NOT_PRIMARY,

    /** The target did not take its promotion. */
    ORDER_REFUSED,

    /** The primary announced that it leaves. */
    LEAVING,

    /** An operator ordered it. */
    OPERATOR,

    /** The change was committed under an earlier control leader. */
    RESUMED,
}
