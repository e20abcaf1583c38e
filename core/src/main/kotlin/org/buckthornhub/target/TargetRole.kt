package org.buckthornhub.target

import kotlinx.serialization.Serializable

/** Role that a target reports for itself. A replaced primary may keep reporting [PRIMARY] with an old term. */
@Serializable
public enum class TargetRole {
    PRIMARY,
    REPLICA,
}
