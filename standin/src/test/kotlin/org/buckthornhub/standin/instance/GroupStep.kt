package org.buckthornhub.standin.instance

import org.buckthornhub.standin.fault.Fault

/** One step of a case; instances count from 1. */
internal sealed interface GroupStep {
    /** Runs [text] on a connection of [instance] of its own, and expects the [value] or the [fault] code. */
    data class Run(
        val instance: Int,
        val text: String,
        val value: String? = null,
        val fault: String? = null,
    ) : GroupStep

    /** Orders [instance] to lead in [term]. */
    data class Promote(
        val instance: Int,
        val term: Long,
        val fault: String? = null,
    ) : GroupStep

    /** Orders [instance] to follow [primary] in [term]. */
    data class Follow(
        val instance: Int,
        val primary: Int,
        val term: Long,
        val fault: String? = null,
    ) : GroupStep

    /** Changes the faults of [instance]. */
    data class Inject(
        val instance: Int,
        val fault: Fault,
    ) : GroupStep

    /** Lets [millis] pass, then every instance sends its heartbeat. */
    data class Pass(val millis: Long) : GroupStep
}
