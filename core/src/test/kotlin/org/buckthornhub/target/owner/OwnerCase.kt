package org.buckthornhub.target.owner

import org.buckthornhub.error.ErrorKind
import org.buckthornhub.target.TargetRole
import kotlin.test.assertEquals

/**
 * Calls and messages to an owner, and what each call comes to.
 *
 * @property script what happens, on a simulation that runs to [untilMillis] afterwards
 * @property errors the error of each ticket; null if it has to be answered
 * @property log what the target has to hold in the end; null if that is left open
 */
internal class OwnerCase(
    val name: String,
    val script: OwnerSimulation.() -> Unit,
    val errors: Map<Long, ErrorKind?>,
    val faults: Faults = Faults(),
    val limits: OwnerLimits = OwnerLimits(),
    val role: TargetRole = TargetRole.PRIMARY,
    val model: ModelTarget = ModelTarget(),
    val log: List<String>? = null,
    val untilMillis: Long = 5_000,
) {
    /** Runs the script and compares. */
    fun check() {
        val simulation = OwnerSimulation(faults = faults, limits = limits, role = role, model = model)
        script(simulation)
        simulation.runUntil(untilMillis)
        assertEquals(errors, errors.mapValues { simulation.errorOf(it.key) })
        log?.let { assertEquals(it, simulation.model.log) }
    }

    override fun toString(): String = name
}
