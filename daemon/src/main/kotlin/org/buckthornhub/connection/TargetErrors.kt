package org.buckthornhub.connection

import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.target.TargetId

/** Maps refusals of targets, and missing answers, to errors for callers. */
internal object TargetErrors {
    /** Failure of an attempt that [target] refused. */
    fun refused(target: TargetId, reply: TargetReply.Refused): AttemptFailure {
        val error = of(target, reply)
        return if (reply.refusal.mayHaveRun) AttemptFailure.MayHaveRun(target, error) else AttemptFailure.NotRun(target, error)
    }

    /** Failure of a read that [target] did not answer. */
    fun readLost(target: TargetId, failure: TargetLinkFailure): AttemptFailure {
        val error = ProxyError(ErrorKind.ANSWER_LOST, "$target gave no answer: ${failure.detail}")
        return if (failure.mayHaveRun) AttemptFailure.MayHaveRun(target, error) else AttemptFailure.NotRun(target, error)
    }

    fun of(target: TargetId, refused: TargetReply.Refused): ProxyError {
        val kind = when (refused.refusal) {
            TargetRefusal.BUSY, TargetRefusal.TOO_MANY_CONNECTIONS -> ErrorKind.QUEUE_FULL
            TargetRefusal.BEHIND -> ErrorKind.REPLICA_BEHIND
            TargetRefusal.NOT_LEADING -> ErrorKind.NO_PRIMARY
            TargetRefusal.OTHER_INSTANCE -> ErrorKind.NO_TARGET
            TargetRefusal.PREPARED_UNKNOWN, TargetRefusal.ABORTED -> ErrorKind.TRANSACTION_ABORTED
            TargetRefusal.MALFORMED -> ErrorKind.MALFORMED_REQUEST
            TargetRefusal.FAILED, TargetRefusal.OTHER -> ErrorKind.STATEMENT_FAILED
            TargetRefusal.TIMED_OUT -> ErrorKind.STATEMENT_TIMED_OUT
            TargetRefusal.IN_DOUBT -> ErrorKind.OUTCOME_UNKNOWN
        }
        return ProxyError(kind, "$target answered ${refused.refusal}: ${refused.detail}", position = refused.position)
    }
}
