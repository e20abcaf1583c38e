package org.buckthornhub.quota

import io.github.oshai.kotlinlogging.KotlinLogging
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.buckthornhub.clock.Clock
import org.buckthornhub.observe.BoundedLabels
import org.buckthornhub.organisation.OrganisationId

/** Counts what the rate limit does, and writes at most one log line a second while it refuses. Not thread-safe. */
internal class LimitReport(
    registry: PrometheusRegistry,
    private val clock: Clock,
) : LimitObserver {
    private var organisations = BoundedLabels(MAX_ORGANISATIONS)
    private var activity = LimitActivity(clock.nowMillis())
    private val refusals =
        Counter.builder().name("buckthornhub_limit_refusals_total").help("Operations refused by the rate limit.")
            .labelNames("organisation").register(registry)
    private val retryAfter =
        Histogram.builder().name(
            "buckthornhub_limit_retry_after_seconds",
        ).help("Announced time to return of operations refused by the limit.")
            .classicUpperBounds(*RETRY_BOUNDS).classicOnly().register(registry)
    private val tokens =
        Counter.builder().name("buckthornhub_limit_tokens_total").help("Tokens of the reserve: issued, returned unused, or expired.")
            .labelNames("event").register(registry)

    override fun refused(organisation: OrganisationId, operations: Int, retryAfterMillis: Long) {
        organisations = organisations.with(organisation.value)
        refusals.labelValues(organisations.labelOf(organisation.value)).inc(operations.toLong())
        retryAfter.observe(retryAfterMillis / MILLIS_PER_SECOND)
        update(activity.withRefused(organisation, operations, retryAfterMillis))
    }

    override fun issued(tokens: Int) = count("issued", tokens.toLong()) { it.copy(issued = it.issued + tokens) }

    override fun returned(tokens: Int) = count("returned", tokens.toLong()) { it.copy(returned = it.returned + tokens) }

    override fun expired(tokens: Long) = count("expired", tokens) { it.copy(expired = it.expired + tokens) }

    private fun count(event: String, number: Long, change: (LimitActivity) -> LimitActivity) {
        if (number == 0L) return
        tokens.labelValues(event).inc(number)
        update(change(activity))
    }

    private fun update(next: LimitActivity) {
        val nowMillis = clock.nowMillis()
        if (next.isDue(nowMillis)) logger.info { next.line() }
        activity = if (next.isDue(nowMillis)) LimitActivity(nowMillis) else next
    }

    private companion object {
        /** Organisations with a label of their own; more than the largest deployment has (87). */
        const val MAX_ORGANISATIONS = 200
        const val MILLIS_PER_SECOND = 1_000.0
        val RETRY_BOUNDS = doubleArrayOf(0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 3.5, 5.0)
        val logger = KotlinLogging.logger {}
    }
}
