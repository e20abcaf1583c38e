package org.buckthornhub.connection

import org.buckthornhub.error.promisesNoEffect
import org.buckthornhub.target.TargetId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import kotlin.test.assertEquals

internal class TargetErrorsTest {
    @ParameterizedTest
    @EnumSource
    fun `a refusal is recorded as not run exactly if its error promises that`(refusal: TargetRefusal) {
        val reply = TargetReply.Refused(refusal, "detail", SessionPhase.IDLE, position = null)
        val failure = TargetErrors.refused(TargetId("i-1"), reply)
        assertEquals(failure.error.kind.promisesNoEffect, failure is AttemptFailure.NotRun)
    }
}
