package org.buckthornhub.target

import com.github.michaelbull.result.Result
import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.error.ProxyError
import org.buckthornhub.statement.Answer

/** What the task that owns a target is told. */
internal sealed interface TargetMessage {
    /** Runs [call] on the target and completes [reply]. */
    data class Run(
        val call: TargetCall,
        val reply: CompletableDeferred<Result<Answer, ProxyError>>,
    ) : TargetMessage

    /** A connection has done its work and is clean. */
    data class Released(val connection: String) : TargetMessage

    /** A connection is gone, or its state is not known. */
    data class Dropped(val connection: String?) : TargetMessage

    /** [transaction] is open on [connection]. */
    data class Pinned(
        val transaction: org.buckthornhub.statement.TransactionId,
        val connection: String,
    ) : TargetMessage
}
