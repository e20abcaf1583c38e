package org.buckthornhub.target

import kotlinx.serialization.Serializable

/** The role a target claims for itself; a replaced primary may go on claiming [PRIMARY] with an old term. */
@Serializable
public enum class TargetRole {
    PRIMARY,
    REPLICA,
}
