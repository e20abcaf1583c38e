package org.buckthornhub.target.owner

import kotlinx.collections.immutable.PersistentList
import org.buckthornhub.group.Position
import org.buckthornhub.routing.PositionSample
import org.buckthornhub.statement.Operation
import org.buckthornhub.target.TargetCall

/** True if the target is known to have applied the position of [call], and its data is provably within the accepted age. */
internal fun OwnerState.satisfies(call: TargetCall, context: OwnerContext): Boolean {
    if (!context.history.contains(held = position, wanted = call.position)) return false
    val accepted = acceptedAgeMillis(call) ?: return true
    return ageMillis(context)?.let { it <= accepted } ?: false
}

/** Staleness bound of a read in ms; null if it accepts any age. */
internal fun acceptedAgeMillis(call: TargetCall): Long? = (call.operation as? Operation.Run)?.statement?.acceptedAgeMillis

/**
 * Upper bound of the age of the target's data in ms, or null if none can be proven.
 *
 * When a sample was requested, the primary had not yet passed the sampled position. A target that has applied this position
 * therefore has all data that the primary had at that time.
 */
private fun OwnerState.ageMillis(context: OwnerContext): Long? {
    if (context.leaseTerm == position.term) return 0
    if (context.history.isReplaced(position.term)) return null
    val proof = samples.lastOrNull { context.history.contains(held = position, wanted = it.position) } ?: return null
    return context.nowMillis - proof.atMillis
}

/** Fetches new samples of the primary's position if [call] has a staleness bound and the last request is old enough. */
internal fun OwnerState.fetchingSamples(call: TargetCall, context: OwnerContext): OwnerStep {
    val isDue = context.nowMillis - samplesRequestedMillis >= SAMPLE_PERIOD_MILLIS
    if (acceptedAgeMillis(call) == null || context.leaseTerm != null || isFetching || !isDue) return unchanged()
    return copy(
        isFetching = true,
        samplesRequestedMillis = context.nowMillis,
    ).with(OwnerEffect.FetchSamples(samples.lastOrNull()?.position))
}

internal fun OwnerState.samplesReceived(found: PersistentList<PositionSample>): OwnerState =
    copy(isFetching = false, samples = found.fold(samples) { all, sample -> all.withSample(sample) })

/** Samples the position of this target, a primary, for a while because the owner of a replica requested samples. */
internal fun OwnerState.samplesRequested(context: OwnerContext): OwnerStep =
    copy(samplingUntilMillis = context.nowMillis + SAMPLE_DEMAND_MILLIS).sampling(context)

/** Takes the next sample when it is due. Only the lease holder can rule out that a newer primary exists. */
internal fun OwnerState.sampling(context: OwnerContext): OwnerStep {
    val isDue = context.nowMillis < samplingUntilMillis && context.nowMillis - samplesRequestedMillis >= SAMPLE_PERIOD_MILLIS
    if (!isDue || isFetching || context.leaseTerm == null) return unchanged()
    return copy(isFetching = true, samplesRequestedMillis = context.nowMillis).with(OwnerEffect.SampleTarget(context.nowMillis))
}

internal fun OwnerState.sampled(message: OwnerMessage.Sampled, context: OwnerContext): OwnerState {
    val progress = message.progress ?: return copy(isFetching = false)
    val position = Position(progress.term, progress.applied)
    if (progress.term != context.leaseTerm) return copy(isFetching = false)
    return copy(isFetching = false, samples = samples.withSample(PositionSample(position, message.askedMillis))).advancedTo(position)
}

private fun PersistentList<PositionSample>.withSample(sample: PositionSample): PersistentList<PositionSample> {
    val last = lastOrNull()
    // The position of an idle primary does not change: the newer sample proves a lower age and replaces the older one.
    if (last?.position == sample.position) return set(size - 1, sample)
    return (if (size >= MAX_SAMPLES) removeAt(0) else this).add(sample)
}

private const val MAX_SAMPLES = 1_000
private const val SAMPLE_PERIOD_MILLIS = 50L
private const val SAMPLE_DEMAND_MILLIS = 5_000L
