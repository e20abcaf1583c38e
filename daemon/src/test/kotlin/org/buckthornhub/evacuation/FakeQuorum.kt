package org.buckthornhub.evacuation

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import org.buckthornhub.control.CommandOutcome
import org.buckthornhub.control.ControlCommand
import org.buckthornhub.control.ControlLeadership
import org.buckthornhub.control.ControlLog
import org.buckthornhub.control.ControlState
import org.buckthornhub.control.ControlStateMachine
import org.buckthornhub.control.MachineState
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.fleet.VmId
import org.buckthornhub.fleet.ZoneId

/**
 * Committed state of a control quorum, as the VM that leads it sees it.
 *
 * @property fault called with the number of each proposal, from 1
 */
internal class FakeQuorum(private val fault: (Int) -> QuorumFault? = { null }) : ControlLog {
    private val machine = MutableStateFlow(MachineState())
    private var proposals = 0
    override val state: StateSource<ControlState> = StateSource { machine.value.control }
    override val leadership = StateSource { ControlLeadership(controlTerm = 1, VmId("c1"), isLeader = true) }

    override suspend fun propose(command: ControlCommand): Result<CommandOutcome, ProxyError> {
        val met = fault(++proposals)
        delay(COMMIT_MILLIS)
        if (met == QuorumFault.NOT_STORED) return lost
        if (met == QuorumFault.ORDERED_MEANWHILE) apply(ControlCommand.SetEvacuation(OTHER_ZONE, isEvacuated = true, expected = 0))
        val outcome = apply(command)
        return if (met == QuorumFault.ANSWER_LOST) lost else Ok(outcome)
    }

    override suspend fun confirmLeadership(): Result<Long, ProxyError> = Ok(1)

    private fun apply(command: ControlCommand): CommandOutcome {
        val (next, outcome) = ControlStateMachine.apply(machine.value, command)
        machine.value = next
        return outcome
    }

    companion object {
        /** Zone that another operator evacuates. */
        val OTHER_ZONE = ZoneId("other")
        private const val COMMIT_MILLIS = 20L
        private val lost = Err(ProxyError(ErrorKind.NO_QUORUM, "lost"))
    }
}
