package org.buckthornhub.lease

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.flow.MutableStateFlow
import org.buckthornhub.clock.Clock
import org.buckthornhub.control.CommandOutcome
import org.buckthornhub.control.ControlCommand
import org.buckthornhub.control.ControlLeadership
import org.buckthornhub.control.ControlLog
import org.buckthornhub.control.ControlState
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.group.Term

/** In-memory control log of a single VM, which commits immediately and always leads. */
internal class SingleNodeControlLog(clock: Clock) : ControlLog {
    private val published = MutableStateFlow(ControlState())
    private val since = ControlLeadership(controlTerm = 1, isLeader = true, sinceMillis = clock.nowMillis())
    override val state: StateSource<ControlState> = StateSource { published.value }
    override val leadership: StateSource<ControlLeadership> = StateSource { since }

    override suspend fun propose(command: ControlCommand): Result<CommandOutcome, ProxyError> {
        val change = command as ControlCommand.SetLeadership
        val known = published.value.leaderships[change.leadership.group]
        if ((known?.term ?: Term.NONE) != change.expected) return Ok(CommandOutcome.Conflict("$known"))
        published.value = published.value.copy(leaderships = published.value.leaderships + (change.leadership.group to change.leadership))
        return Ok(CommandOutcome.Accepted(revision = change.leadership.term.value))
    }

    override suspend fun confirmLeadership(): Result<Long, ProxyError> = Ok(since.controlTerm)
}
