package org.buckthornhub.instancepool

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.assertEquals

internal class ConnectionShareTest {
    @ParameterizedTest(name = "{0} connections, {1} daemons: {2} to {3} each, {4} in total")
    @CsvSource("23, 8, 2, 3, 20", "36, 7, 4, 5, 33", "23, 3, 3, 3, 9", "10, 7, 1, 1, 7", "4, 12, 1, 1, 12", "66, 24, 2, 3, 63")
    fun `the connections are divided evenly among the daemons`(all: Int, daemons: Int, least: Int, most: Int, together: Int) {
        val shares = (0 until daemons).map { ConnectionShare.of(all, it, daemons) }
        assertEquals(listOf(least, most, together), listOf(shares.min(), shares.max(), shares.sum()))
    }

    @ParameterizedTest(name = "{0} connections, {1} daemons: short-lived {2}, {3} at once")
    @CsvSource("66, 24, false, 3", "66, 94, true, 4", "53, 70, true, 3", "317, 84, false, 4", "66, 1, false, 9")
    fun `where daemons outnumber the connections, a daemon opens some when it needs them`(
        all: Int,
        daemons: Int,
        isShortLived: Boolean,
        atOnce: Int,
    ) {
        assertEquals(isShortLived, ConnectionShare.isShortLived(all, daemons))
        assertEquals(atOnce, ConnectionShare.of(all, 0, daemons))
    }
}
