package org.buckthornhub.evacuation

import org.buckthornhub.control.EvacuationResult

/**
 * An order to evacuate a zone at a control VM.
 *
 * @property faults fault of each proposal; the last one repeats
 * @property revision revision of the evacuations afterwards
 */
internal class OrderCase(
    private val name: String,
    val faults: List<QuorumFault?>,
    val result: Class<out EvacuationResult>,
    val revision: Long,
    val zone: String = "a",
    val isForwarded: Boolean = false,
) {
    override fun toString(): String = if (isForwarded) "$name, at a follower" else name
}
