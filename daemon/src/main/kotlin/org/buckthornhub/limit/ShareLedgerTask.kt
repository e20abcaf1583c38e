package org.buckthornhub.limit

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.buckthornhub.clock.Clock
import org.buckthornhub.control.ControlLog
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.task.Task

/** Owns the share ledger on a control VM. It sends a reply only after a majority has confirmed its leadership. */
internal class ShareLedgerTask(
    private val log: ControlLog,
    private val view: StateSource<FleetView>,
    timing: LimitTiming,
    private val clock: Clock,
) : Task<ShareLedgerCall>("share ledger") {
    private val decider = ShareLedgerDecider(timing.leaseMillis)
    private var ledger = ShareLedger()
    private lateinit var scope: CoroutineScope

    override suspend fun onStart(scope: CoroutineScope) {
        this.scope = scope
    }

    override suspend fun handle(message: ShareLedgerCall) {
        val leadership = log.leadership.current()
        if (!leadership.isLeader) {
            message.reply.complete(notLeading)
            return
        }
        if (leadership.controlTerm != ledger.controlTerm) {
            decide(ShareLedgerMessage.LeadershipAcquired(leadership.controlTerm, leadership.sinceMillis))
        }
        val zones = view.current().daemons.values.map { it.zone }.toSet()
        val effects = decide(ShareLedgerMessage.SharesRequested(replyId = 0, request = message.request, zones = zones))
        val reply = effects.filterIsInstance<ShareLedgerEffect.Reply>().single().reply
        scope.launch { message.reply.complete(confirmed(reply)) }
    }

    // Leadership is confirmed after the decision, so that no grant of a deposed leader is sent.
    private suspend fun confirmed(reply: ShareReply): Result<ShareReply, ProxyError> =
        if (log.confirmLeadership().get() == reply.controlTerm) Ok(reply) else notLeading

    private fun decide(message: ShareLedgerMessage): List<ShareLedgerEffect> {
        val decision = decider.decide(ledger, message, clock.nowMillis())
        ledger = decision.state
        return decision.effects
    }

    private companion object {
        val notLeading = Err(ProxyError(ErrorKind.NO_QUORUM, "this VM is not the leader of the control quorum"))
    }
}
