package org.buckthornhub.coordination

import kotlinx.coroutines.CompletableDeferred

/** What the task of the reserve is told. */
internal data class ReserveCommand(
    val request: ReserveRequest,
    val answer: CompletableDeferred<ReserveGrant>,
)
