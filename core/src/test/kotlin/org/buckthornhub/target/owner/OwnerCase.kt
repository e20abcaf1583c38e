package org.buckthornhub.target.owner

import org.buckthornhub.error.ErrorKind
import org.buckthornhub.target.TargetRole
import kotlin.test.assertEquals

/**
 * Calls and messages to an owner, with the expected result of each call.
 *
 * @property script schedules calls and messages on a simulation, which then runs until [untilMillis]
 * @property errors expected error of each ticket; null if the call must succeed
 * @property log expected log of the target at the end; null if it is not checked
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
    /** Runs the script and compares the results with the expected ones. */
    fun check() {
        val simulation = OwnerSimulation(faults = faults, limits = limits, role = role, model = model)
        script(simulation)
        simulation.runUntil(untilMillis)
        assertEquals(errors, errors.mapValues { simulation.errorOf(it.key) })
        log?.let { assertEquals(it, simulation.model.log) }
    }

    override fun toString(): String = name
}
