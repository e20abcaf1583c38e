package org.buckthornhub.target.owner

import kotlinx.collections.immutable.PersistentList
import org.buckthornhub.group.Position
import org.buckthornhub.routing.PositionSample
import org.buckthornhub.statement.Operation
import org.buckthornhub.target.TargetCall

/** True if the target is known to have all that [call] has to see, and its data is proven to be young enough. */
internal fun OwnerState.satisfies(call: TargetCall, context: OwnerContext): Boolean {
    if (!context.history.contains(held = position, wanted = call.position)) return false
    val accepted = acceptedAgeMillis(call) ?: return true
    return ageMillis(context)?.let { it <= accepted } ?: false
}

/** The age that a read accepts in ms; null if any will do. */
internal fun acceptedAgeMillis(call: TargetCall): Long? = (call.operation as? Operation.Run)?.statement?.acceptedAgeMillis

/**
 * Upper bound of the age of the target's data in ms, or null if there is no proof.
 *
 * The primary had come at most as far as a sample when that sample was asked for; a target that has applied as much has
 * all the data of that moment.
 */
private fun OwnerState.ageMillis(context: OwnerContext): Long? {
    if (context.leaseTerm == position.term) return 0
    if (context.history.isReplaced(position.term)) return null
    val proof = samples.lastOrNull { context.history.contains(held = position, wanted = it.position) } ?: return null
    return context.nowMillis - proof.atMillis
}

/** Asks for new samples of the primary while reads state an age. */
internal fun OwnerState.fetchingSamples(call: TargetCall, context: OwnerContext): OwnerStep {
    val isDue = context.nowMillis - fetchedMillis >= SAMPLE_PERIOD_MILLIS
    if (acceptedAgeMillis(call) == null || context.leaseTerm != null || isFetching || !isDue) return unchanged()
    return copy(isFetching = true, fetchedMillis = context.nowMillis).with(OwnerEffect.FetchSamples(samples.lastOrNull()?.position))
}

internal fun OwnerState.samplesHeard(found: PersistentList<PositionSample>): OwnerState =
    copy(isFetching = false, samples = found.fold(samples) { all, sample -> all.bounded(sample) })

/** Samples this target, the primary, for a while: the owner of a replica asked. */
internal fun OwnerState.samplesAsked(context: OwnerContext): OwnerStep =
    copy(sampledUntilMillis = context.nowMillis + SAMPLE_DEMAND_MILLIS).sampling(context)

/** Takes the next sample when it is due. Only the holder of the lease knows that no newer primary exists. */
internal fun OwnerState.sampling(context: OwnerContext): OwnerStep {
    val isDue = context.nowMillis < sampledUntilMillis && context.nowMillis - fetchedMillis >= SAMPLE_PERIOD_MILLIS
    if (!isDue || isFetching || context.leaseTerm == null) return unchanged()
    return copy(isFetching = true, fetchedMillis = context.nowMillis).with(OwnerEffect.SampleTarget(context.nowMillis))
}

internal fun OwnerState.sampled(message: OwnerMessage.Sampled, context: OwnerContext): OwnerState {
    val progress = message.progress ?: return copy(isFetching = false)
    val position = Position(progress.term, progress.applied)
    if (progress.term != context.leaseTerm) return copy(isFetching = false)
    return copy(isFetching = false, samples = samples.bounded(PositionSample(position, message.askedMillis))).movedTo(position)
}

private fun PersistentList<PositionSample>.bounded(sample: PositionSample): PersistentList<PositionSample> {
    val last = lastOrNull()
    // An idle primary stays where it is: the newest proof for a position replaces the older one.
    if (last?.position == sample.position) return set(size - 1, sample)
    return (if (size >= MAX_SAMPLES) removeAt(0) else this).add(sample)
}

private const val MAX_SAMPLES = 1_000
private const val SAMPLE_PERIOD_MILLIS = 50L
private const val SAMPLE_DEMAND_MILLIS = 5_000L
