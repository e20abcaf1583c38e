package org.buckthornhub.docs

import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ErrorTable
import org.buckthornhub.settings.SettingDefinition
import org.buckthornhub.settings.SettingDefinitions
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals

/** The operators' page lists every setting and every error as the code has them; a failure prints the right rows. */
internal class OperationsPageTest {
    private val rows = File("../docs/OPERATIONS.md").readLines().filter { it.startsWith("| `") }

    @Test
    fun `lists every setting`() {
        val expected = SettingDefinitions.ALL.map { rowOf(it) }
        assertEquals(expected.joinToString("\n"), rows.filter { it in expected || isSettingRow(it) }.joinToString("\n"))
    }

    @Test
    fun `lists every error`() {
        val expected =
            ErrorKind.entries.map { kind ->
                val answer = ErrorTable.answerTo(kind)
                val repeat = if (answer.isRetryable) "yes" else "no"
                "| `${kind.name}` | ${answer.status} | ${answer.execution} | $repeat | ${answer.advice} |"
            }
        assertEquals(expected.joinToString("\n"), rows.filter { isErrorRow(it) }.joinToString("\n"))
    }

    private fun rowOf(definition: SettingDefinition): String {
        val default =
            when {
                definition.default != null -> "`${definition.default}`"
                definition.isOptional -> "none"
                else -> "has to be given"
            }
        return "| `${definition.key}` | ${definition.kind.allowed} | $default | ${definition.description} |"
    }

    private fun isErrorRow(row: String) = Regex("\\| `[A-Z_]+` .*").matches(row)

    private fun isSettingRow(row: String) = Regex("\\| `[a-z_]+(\\.[a-z_]+)?` .*").matches(row)
}
