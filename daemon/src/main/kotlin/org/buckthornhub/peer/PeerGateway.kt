package org.buckthornhub.peer

import com.github.michaelbull.result.Result
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.VmId
import org.buckthornhub.statement.Answer
import org.buckthornhub.target.TargetCall

/** The way to owners in other daemons. */
internal fun interface PeerGateway {
    /** Has the daemon on [owner] run [call]; a reply that was lost leaves the outcome open. */
    suspend fun execute(owner: VmId, call: TargetCall): Result<Answer, ProxyError>
}
