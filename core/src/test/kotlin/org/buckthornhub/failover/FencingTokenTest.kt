package org.buckthornhub.failover

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.assertEquals

internal class FencingTokenTest {
    @ParameterizedTest
    @CsvSource("1, 0, 10000", "1, 1, 10001", "1, 9999, 19999", "1, 10000, 19999", "1, 2147483647, 19999", "2, 0, 20000")
    fun `tokens grow with orders and terms, and no two terms share one`(term: Long, order: Int, token: Long) {
        assertEquals(token, FencingToken.of(term, order))
    }
}
