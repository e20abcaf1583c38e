package org.buckthornhub.connection

/**
 * @property before statements that are answered before
 * @property last the statement in whose course the VM is suspended; null for a probe of the daemon itself
 * @property isHeldUp whether the answer to a statement is the one that arrives after the suspension
 */
internal data class HeldUpCase(
    val name: String,
    val before: List<ClientStatement>,
    val last: ClientStatement?,
    val suspendedMillis: Long,
    val isHeldUp: (TargetStatement) -> Boolean,
) {
    override fun toString(): String = "$name, suspended for $suspendedMillis ms"
}
