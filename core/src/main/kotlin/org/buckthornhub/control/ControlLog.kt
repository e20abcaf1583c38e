package org.buckthornhub.control

import com.github.michaelbull.result.Result
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.StateSource

/** Access to the replicated log of the control quorum from other tasks on a control VM. */
public interface ControlLog {
    /** State after the last entry that this VM knows to be committed. */
    public val state: StateSource<ControlState>

    /** The leader of the quorum, as known to this VM. */
    public val leadership: StateSource<ControlLeadership>

    /** Commits [command]. After `NO_QUORUM` the command may still be committed later. */
    public suspend fun propose(command: ControlCommand): Result<CommandOutcome, ProxyError>

    /** Returns the control term after a majority has confirmed that this VM still leads, otherwise `NO_QUORUM`. */
    public suspend fun confirmLeadership(): Result<Long, ProxyError>
}
