package org.buckthornhub.routing

import org.buckthornhub.fleet.StateSource

/** Source of position hints: [current] returns the newest hints, [observe] updates them without blocking. */
public interface PositionHintSource : StateSource<PositionHints> {
    public fun observe(message: PositionMessage)

    public companion object {
        /** Ignores all updates; routes then depend on the announcements in the fleet view alone. */
        public val NONE: PositionHintSource =
            object : PositionHintSource {
                override fun current(): PositionHints = PositionHints()

                override fun observe(message: PositionMessage) {}
            }
    }
}
