package org.buckthornhub.settings

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull

/** A settings file is accepted as a whole, or rejected with all of its errors. */
internal class SettingsLoaderTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `every error is listed`(case: SettingsCase) {
        val result = SettingsLoader().load(case.toml())
        assertEquals(case.errors, result.getError().orEmpty().map { "${it.key}: ${it.found}" })
        if (case.errors.isEmpty()) assertNotNull(result.get())
    }

    @Test
    fun `no error contains a secret`() {
        val case = SettingsCase("", "operator.secret = \"hunter2\"", emptyList())
        val errors = SettingsLoader().load(case.toml()).getError().orEmpty()
        assertFalse(errors.any { "hunter2" in it.toString() }, "$errors")
    }

    private companion object {
        @JvmStatic
        fun cases(): List<SettingsCase> = listOf(
            SettingsCase("complete", "", emptyList()),
            SettingsCase(
                "every section",
                "[limit]\nlease_ms = 5000\nbatch_ms = 100\n" +
                    "[shutdown]\nleave_ms = 0\n[trace]\nsample_percent = 100\n[log]\nformat = \"json\"",
                emptyList(),
            ),
            SettingsCase(
                "several errors",
                "limit.max_wait_ms = -1\nzonne = \"x\"\nlog.format = \"xml\"",
                listOf("zonne: an unknown key", "vm: nothing", "log.format: xml", "limit.max_wait_ms: -1"),
                without = setOf("vm"),
            ),
            SettingsCase("a number as text", "shutdown.drain_ms = \"10\"", listOf("shutdown.drain_ms: 10")),
            SettingsCase(
                "a short secret",
                "fleet.secret = \"short\"",
                listOf("fleet.secret: 5 characters"),
                without = setOf("fleet.secret"),
            ),
            SettingsCase(
                "equal secrets",
                "operator.secret = \"0123456789abcdef\"",
                listOf("operator.secret: the same text as fleet.secret"),
            ),
            SettingsCase(
                "a batch longer than half of its lease",
                "limit.lease_ms = 1000\nlimit.batch_ms = 600",
                listOf("limit.batch_ms: 600"),
            ),
            SettingsCase("a duplicate seed", "fleet.seeds = [\"a:1\", \"a:1\"]", listOf("fleet.seeds: a:1 more than once")),
        )
    }
}
