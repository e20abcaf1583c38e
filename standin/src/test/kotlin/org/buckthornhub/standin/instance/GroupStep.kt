package org.buckthornhub.standin.instance

import org.buckthornhub.standin.fault.Fault

/** Step of a test case; instances are numbered from 1. */
internal sealed interface GroupStep {
    /** Executes [text] on a separate connection to [instance] and expects [value] or the error code [fault]. */
    data class Run(
        val instance: Int,
        val text: String,
        val value: String? = null,
        val fault: String? = null,
    ) : GroupStep

    /** Promotes [instance] to primary in [term]. */
    data class Promote(
        val instance: Int,
        val term: Long,
        val fault: String? = null,
    ) : GroupStep

    /** Makes [instance] follow [primary] in [term]. */
    data class Follow(
        val instance: Int,
        val primary: Int,
        val term: Long,
        val fault: String? = null,
    ) : GroupStep

    /** Injects [fault] into [instance]. */
    data class Inject(
        val instance: Int,
        val fault: Fault,
    ) : GroupStep

    /** Advances the time by [millis] and triggers the timers of every instance. */
    data class Pass(val millis: Long) : GroupStep
}
