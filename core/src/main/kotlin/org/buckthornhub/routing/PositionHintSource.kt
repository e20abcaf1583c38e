package org.buckthornhub.routing

import org.buckthornhub.fleet.StateSource

/** Keeps position hints: [current] gives the newest, [learn] adds to them without waiting. */
public interface PositionHintSource : StateSource<PositionHints> {
    public fun learn(message: PositionMessage)

    public companion object {
        /** Learns nothing; routes then depend on announcements alone. */
        public val NONE: PositionHintSource =
            object : PositionHintSource {
                override fun current(): PositionHints = PositionHints()

                override fun learn(message: PositionMessage) {}
            }
    }
}
