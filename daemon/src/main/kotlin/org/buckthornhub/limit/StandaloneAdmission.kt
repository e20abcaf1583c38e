package org.buckthornhub.limit

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.clock.Clock
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.organisation.Grant
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.task.Task

/** The naive single bucket: right for one daemon that knows no control quorum, and for no more than one. */
internal class StandaloneAdmission(
    private val timing: LimitTiming,
    private val clock: Clock,
) : Task<AdmissionCall.Admit>("standalone admission"),
    Admission {
    private var buckets: PersistentMap<OrganisationId, TokenBucket> = persistentMapOf()

    override suspend fun admit(organisation: OrganisationId, grant: Grant, deadlineMillis: Long): Result<Long, ProxyError> {
        val reply = CompletableDeferred<Result<Long, ProxyError>>()
        val limit = RateLimit.of(grant, timing.driftPartsPerMillion)
        val isTaken = offer(AdmissionCall.Admit(organisation, limit, deadlineMillis, reply))
        return if (isTaken) reply.await() else Err(ProxyError(ErrorKind.QUEUE_FULL, "too many requests wait in this daemon"))
    }

    override suspend fun handle(message: AdmissionCall.Admit) {
        val nowMillis = clock.nowMillis()
        val known = buckets[message.organisation] ?: TokenBucket(message.limit, nowMillis + 1, tokens = message.limit.burst)
        val minted = known.withLimitAt(message.limit, nowMillis)
        val spent = minted.spendOne()
        buckets = buckets.put(message.organisation, spent ?: minted)
        message.reply.complete(if (spent == null) Err(refusal(minted)) else Ok(0))
    }

    private fun refusal(bucket: TokenBucket) = ProxyError(
        kind = ErrorKind.RATE_EXCEEDED,
        detail = "the organisation's rate and burst are used up",
        retryAfterMillis = bucket.limit.millisToRefill(TokenAmount.ONE - bucket.tokens).coerceAtLeast(1),
    )
}
