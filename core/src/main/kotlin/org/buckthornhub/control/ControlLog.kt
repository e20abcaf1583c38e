package org.buckthornhub.control

import com.github.michaelbull.result.Result
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.StateSource

/** The replicated log of the control quorum, as the deciders on a control VM use it. */
public interface ControlLog {
    /** State up to the last entry that this VM knows to be committed. */
    public val state: StateSource<ControlState>

    public val leadership: StateSource<ControlLeadership>

    /** Commits [command]; `NO_QUORUM` leaves it open whether it is committed later. */
    public suspend fun propose(command: ControlCommand): Result<CommandOutcome, ProxyError>

    /** Answers the control term once a majority has confirmed that this VM still leads, else `NO_QUORUM`. */
    public suspend fun confirmLeadership(): Result<Long, ProxyError>
}
