package org.buckthornhub.target

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.fleet.VmId
import org.buckthornhub.peer.PeerGateway
import org.buckthornhub.statement.Answer
import org.buckthornhub.statement.TransactionId
import org.buckthornhub.statement.openTransaction
import org.buckthornhub.target.owner.OwnerLocator

/** Routes each call to the daemon that owns its target: through [local] if it is this one, else through [peers]. */
internal class OwnedTargetGateway(
    private val self: VmId,
    private val view: StateSource<FleetView>,
    private val locator: OwnerLocator,
    private val local: TargetGateway,
    private val peers: PeerGateway,
) : TargetGateway {
    override suspend fun execute(call: TargetCall): Result<Answer, ProxyError> {
        val transaction = call.operation.openTransaction()
        val owner = if (transaction == null) ownerOf(call.target) else transactionOwnerOf(transaction)
        if (owner == null) return Err(ProxyError(ErrorKind.NO_TARGET, "no daemon is known to own target ${call.target}"))
        return if (owner == self) local.execute(call) else peers.execute(owner, call)
    }

    private fun ownerOf(target: TargetId): VmId? = view.current().targets[target]?.let { locator.ownerOf(it) }

    // A transaction stays on the daemon that began it, even if another one owns the target by now.
    private fun transactionOwnerOf(id: TransactionId): VmId? = TransactionRoute.of(id)?.owner
}
