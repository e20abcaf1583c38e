package org.buckthornhub.replication

/**
 * An append that returns an echo to a follower whose run started at [startedMillis] of its clock, which now shows 10,000.
 *
 * @property freshMillis time at which the state is expected to count as confirmed
 */
internal class EchoCase(
    private val name: String,
    val run: RunId?,
    val echo: Long?,
    val startedMillis: Long,
    val freshMillis: Long?,
) {
    override fun toString(): String = name
}
