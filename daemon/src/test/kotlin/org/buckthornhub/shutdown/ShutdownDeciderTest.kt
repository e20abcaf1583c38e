package org.buckthornhub.shutdown

import org.buckthornhub.shutdown.ShutdownMessage.Begin
import org.buckthornhub.shutdown.ShutdownMessage.EarlyHandoverEnded
import org.buckthornhub.shutdown.ShutdownMessage.LateHandoverEnded
import org.buckthornhub.shutdown.ShutdownMessage.RequestEnded
import org.buckthornhub.shutdown.ShutdownMessage.RequestStarted
import org.buckthornhub.shutdown.ShutdownMessage.Tick
import org.buckthornhub.shutdown.ShutdownPhase.DRAINING
import org.buckthornhub.shutdown.ShutdownPhase.HANDING_OVER
import org.buckthornhub.shutdown.ShutdownPhase.LEAVING
import org.buckthornhub.shutdown.ShutdownPhase.SERVING
import org.buckthornhub.shutdown.ShutdownPhase.STOPPED
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

/** The phases and effects of a graceful shutdown. */
internal class ShutdownDeciderTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `each message leads to the expected phase and effects`(case: ShutdownCase) {
        val decider = ShutdownDecider(ShutdownTiming(leaveMillis = 100, drainMillis = 1_000))
        case.steps.fold(ShutdownState()) { state, step ->
            val decision = decider.decide(state, step.message, step.atMillis)
            assertEquals(step.phase to step.effects, decision.state.phase to decision.effects.toList(), "$step")
            assertEquals(step.phase == SERVING, decision.state.isReady)
            decision.state
        }
    }

    private companion object {
        private val early = listOf(ShutdownEffect.HandOverEarly)
        private val late = listOf(ShutdownEffect.HandOverLate)
        private val stop = listOf(ShutdownEffect.Stop)

        @JvmStatic
        fun cases(): List<ShutdownCase> = listOf(
            ShutdownCase(
                "nothing in flight",
                listOf(
                    ShutdownStep(0, Begin, LEAVING, early),
                    ShutdownStep(10, EarlyHandoverEnded, LEAVING),
                    ShutdownStep(99, Tick, LEAVING),
                    ShutdownStep(100, Tick, HANDING_OVER, late),
                    ShutdownStep(110, LateHandoverEnded, STOPPED, stop),
                ),
            ),
            ShutdownCase(
                "requests that arrive in the leaving phase are completed",
                listOf(
                    ShutdownStep(0, RequestStarted, SERVING),
                    ShutdownStep(0, Begin, LEAVING, early),
                    ShutdownStep(10, EarlyHandoverEnded, LEAVING),
                    ShutdownStep(50, RequestStarted, LEAVING),
                    ShutdownStep(100, Tick, DRAINING),
                    ShutdownStep(200, RequestEnded, DRAINING),
                    ShutdownStep(300, RequestEnded, HANDING_OVER, late),
                    ShutdownStep(310, LateHandoverEnded, STOPPED, stop),
                ),
            ),
            ShutdownCase(
                "a request that never ends is abandoned after the drain limit",
                listOf(
                    ShutdownStep(0, RequestStarted, SERVING),
                    ShutdownStep(0, Begin, LEAVING, early),
                    ShutdownStep(10, EarlyHandoverEnded, LEAVING),
                    ShutdownStep(100, Tick, DRAINING),
                    ShutdownStep(1_099, Tick, DRAINING),
                    ShutdownStep(1_100, Tick, HANDING_OVER, late),
                ),
            ),
            ShutdownCase(
                "the drain starts only after the early handover",
                listOf(
                    ShutdownStep(0, Begin, LEAVING, early),
                    ShutdownStep(150, Tick, LEAVING),
                    ShutdownStep(160, EarlyHandoverEnded, HANDING_OVER, late),
                ),
            ),
            ShutdownCase(
                "a second signal has no effect",
                listOf(ShutdownStep(0, Begin, LEAVING, early), ShutdownStep(5, Begin, LEAVING)),
            ),
        )
    }
}
