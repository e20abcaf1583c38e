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

/** Admission by one local token bucket for each organisation; correct only for a single daemon without a control quorum. */
internal class StandaloneAdmission(
    private val timing: LimitTiming,
    private val clock: Clock,
) : Task<AdmissionCall.Admit>("standalone admission"),
    Admission {
    private var buckets: PersistentMap<OrganisationId, TokenBucket> = persistentMapOf()

    override suspend fun admit(organisation: OrganisationId, grant: Grant, deadlineMillis: Long): Result<Long, ProxyError> {
        val reply = CompletableDeferred<Result<Long, ProxyError>>()
        val limit = RateLimit.of(grant, timing.driftPartsPerMillion)
        val isAccepted = offer(AdmissionCall.Admit(organisation, limit, deadlineMillis, reply))
        return if (isAccepted) reply.await() else Err(ProxyError(ErrorKind.QUEUE_FULL, "too many requests are queued in this daemon"))
    }

    override suspend fun handle(message: AdmissionCall.Admit) {
        val nowMillis = clock.nowMillis()
        val known = buckets[message.organisation] ?: TokenBucket(message.limit, nowMillis + 1, tokens = message.limit.burst)
        val refilled = known.withLimitAt(message.limit, nowMillis)
        val spent = refilled.spendOne()
        buckets = buckets.put(message.organisation, spent ?: refilled)
        message.reply.complete(if (spent == null) Err(refusal(refilled)) else Ok(0))
    }

    private fun refusal(bucket: TokenBucket) = ProxyError(
        kind = ErrorKind.RATE_EXCEEDED,
        detail = "the organisation has exceeded its rate limit and used up its burst",
        retryAfterMillis = bucket.limit.millisToRefill(TokenAmount.ONE - bucket.tokens).coerceAtLeast(1),
    )
}
