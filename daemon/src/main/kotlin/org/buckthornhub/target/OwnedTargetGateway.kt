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

/** Hands each call to the owner of its target: [own] if that is this daemon, else over [peers]. */
internal class OwnedTargetGateway(
    private val self: VmId,
    private val view: StateSource<FleetView>,
    private val locator: OwnerLocator,
    private val own: TargetGateway,
    private val peers: PeerGateway,
) : TargetGateway {
    override suspend fun execute(call: TargetCall): Result<Answer, ProxyError> {
        val transaction = call.operation.openTransaction()
        val owner = if (transaction == null) ownerOf(call.target) else transactionOwnerOf(transaction)
        if (owner == null) return Err(ProxyError(ErrorKind.NO_TARGET, "no daemon is known that owns target ${call.target}"))
        return if (owner == self) own.execute(call) else peers.execute(owner, call)
    }

    private fun ownerOf(target: TargetId): VmId? = view.current().targets[target]?.let { locator.ownerOf(it) }

    // A transaction stays with the daemon that began it, whoever owns the target by now.
    private fun transactionOwnerOf(id: TransactionId): VmId? = TransactionRoute.of(id)?.owner
}
