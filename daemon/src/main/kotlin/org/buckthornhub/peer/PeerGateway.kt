package org.buckthornhub.peer

import com.github.michaelbull.result.Result
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.VmId
import org.buckthornhub.statement.Answer
import org.buckthornhub.target.SampleAges
import org.buckthornhub.target.TargetCall

/** Access to target owners in other daemons. */
internal interface PeerGateway {
    /** Executes [call] on the daemon on [owner]. If the reply is lost, the outcome is unknown. */
    suspend fun execute(owner: VmId, call: TargetCall): Result<Answer, ProxyError>

    /** Fetches the commit samples of a primary from its owner; returns none if the owner can't be reached. */
    suspend fun samples(owner: VmId, body: SampleBody): SampleAges
}
