package org.buckthornhub.peer

import com.github.michaelbull.result.Result
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.VmId
import org.buckthornhub.statement.Answer
import org.buckthornhub.target.SampleAges
import org.buckthornhub.target.TargetCall

/** The way to owners in other daemons. */
internal interface PeerGateway {
    /** Has the daemon on [owner] run [call]; a reply that was lost leaves the outcome open. */
    suspend fun execute(owner: VmId, call: TargetCall): Result<Answer, ProxyError>

    /** Samples of a primary from its owner; none if it can't be reached. */
    suspend fun samples(owner: VmId, body: SampleBody): SampleAges
}
