package org.buckthornhub.fleet

import kotlinx.serialization.Serializable

/** Liveness of a daemon as its peers see it. */
@Serializable
public enum class DaemonState {
    ALIVE,
    SUSPECT,
    LEAVING,
    DEAD,
}
