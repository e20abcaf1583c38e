package org.buckthornhub.fleet

import kotlinx.serialization.Serializable

/** Liveness of a daemon as seen by its peers. */
@Serializable
public enum class DaemonState {
    ALIVE,
    SUSPECT,
    LEAVING,
    DEAD,
}
