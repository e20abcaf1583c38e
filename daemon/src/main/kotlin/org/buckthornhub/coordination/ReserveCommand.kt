package org.buckthornhub.coordination

import kotlinx.coroutines.CompletableDeferred

/** A request to [ReserveTask]; [answer] completes with the granted tokens. */
internal data class ReserveCommand(
    val request: ReserveRequest,
    val answer: CompletableDeferred<ReserveGrant>,
)
