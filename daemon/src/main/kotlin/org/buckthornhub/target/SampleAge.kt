package org.buckthornhub.target

import kotlinx.serialization.Serializable
import org.buckthornhub.clock.Clock
import org.buckthornhub.group.Position
import org.buckthornhub.routing.PositionSample

/**
 * A sample as it travels between daemons, whose clocks don't agree.
 *
 * @property ageMillis time since the primary was asked
 */
@Serializable
internal data class SampleAge(
    val position: Position,
    val ageMillis: Long,
) {
    /** The sample in local time, if it was asked for at [askedMillis]: at least as old as it is. */
    fun toSample(askedMillis: Long): PositionSample = PositionSample(position, askedMillis - ageMillis)

    companion object {
        fun of(sample: PositionSample, clock: Clock): SampleAge = SampleAge(sample.position, clock.nowMillis() - sample.atMillis)
    }
}
