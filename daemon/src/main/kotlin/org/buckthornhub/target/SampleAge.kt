package org.buckthornhub.target

import kotlinx.serialization.Serializable
import org.buckthornhub.clock.Clock
import org.buckthornhub.group.Position
import org.buckthornhub.routing.PositionSample

/**
 * A position sample as sent between daemons, whose monotonic clocks are not comparable.
 *
 * @property ageMillis time since the primary was queried
 */
@Serializable
internal data class SampleAge(
    val position: Position,
    val ageMillis: Long,
) {
    /** Returns the sample in local time, given that it was requested at [askedMillis]. Its age is never underestimated. */
    fun toSample(askedMillis: Long): PositionSample = PositionSample(position, askedMillis - ageMillis)

    companion object {
        fun of(sample: PositionSample, clock: Clock): SampleAge = SampleAge(sample.position, clock.nowMillis() - sample.atMillis)
    }
}
