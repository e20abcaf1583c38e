package org.buckthornhub.cli.explain.log

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

/** From the id of a request to what the logs of a fleet say of it. */
internal class LogExplainerTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `what concerns a request is found, and nothing else`(case: LogCase) {
        val read = LogFile.read(texts.asSequence())
        val found = LogExplainer.explain(read.lines, case.id)
        assertEquals(case.own, found.own.map { it.fields["kind"] ?: "served" })
        assertEquals(case.around, found.around.map { it.message })
        assertEquals(case.alike, found.alike)
    }

    @Test
    fun `lines that are cut or of another program are counted and skipped`() {
        assertEquals(3, LogFile.read(texts.asSequence()).skipped)
        val text = LogExplanationText.linesOf("a1", LogExplainer.explain(LogFile.read(texts.asSequence()).lines, "a1"), skipped = 3)
        assertEquals("3 lines were skipped: not from a daemon, or cut", text.last())
    }

    @Test
    fun `any bytes are read or skipped, and every line counts once`() {
        val random = Random(11)
        repeat(200) {
            val noisy = texts
                .map { text -> text.take(random.nextInt(text.length + 1)) + random.nextBytes(random.nextInt(4)).decodeToString() }
                .flatMap { it.lines() }
                .filter { it.isNotBlank() }
            val read = LogFile.read(noisy.asSequence())
            assertEquals(noisy.size, read.lines.size + read.skipped)
        }
    }

    private companion object {
        private fun failed(at: Long, vm: String, id: String, kind: String, detail: String) =
            "$vm {\"timestamp\":$at,\"level\":\"WARN\",\"loggerName\":\"decisions\"," +
                "\"kvpList\":[{\"request\":\"$id\"},{\"kind\":\"$kind\"},{\"detail\":\"$detail\"}],\"message\":\"request-failed\"}"

        private fun noted(at: Long, vm: String, message: String) =
            "$vm {\"timestamp\":$at,\"level\":\"INFO\",\"loggerName\":\"x\",\"message\":\"$message\"}"

        val texts = listOf(
            noted(10_000, "edge-1", "edge-1 serves callers"),
            failed(20_000, "edge-1", "a1", "OUTCOME_UNKNOWN", "i-77aa gave no answer: reset"),
            failed(20_400, "edge-2", "a2", "OUTCOME_UNKNOWN", "i-77aa gave no answer: reset"),
            failed(20_500, "edge-2", "a3", "RATE_EXCEEDED", "organisation o1 is over its rate"),
            noted(21_000, "core-1", "group g: survey, because most daemons can't reach i-77aa"),
            noted(21_500, "core-1", "group h: survey, because most daemons can't reach i-99"),
            noted(22_000, "edge-1", "leaders that give no answer: [i-77aa]"),
            "edge-1 {\"timestamp\":22100,\"message\":\"request-served\",\"kvpList\":[{\"request\":\"a4\"},{\"target\":\"i-77aa\"}]}",
            noted(40_000, "core-1", "group g: promoted i-88, because most daemons can't reach i-77aa"),
            "Picked up JAVA_TOOL_OPTIONS: -Dx=y",
            "{\"level\":\"INFO\",\"message\":\"of another program\"}",
            "edge-1 {\"timestamp\":23000,\"level\":\"WARN\",\"mess",
        )

        @JvmStatic
        fun cases(): List<LogCase> = listOf(
            LogCase(
                "a write in doubt leads to the instance",
                "a1",
                own = listOf("OUTCOME_UNKNOWN"),
                around = listOf(
                    "group g: survey, because most daemons can't reach i-77aa",
                    "leaders that give no answer: [i-77aa]",
                ),
                alike = mapOf("edge-2" to 1),
            ),
            LogCase("a refusal at a daemon that noted nothing", "a3", own = listOf("RATE_EXCEEDED")),
            LogCase(
                "a request that was served",
                "a4",
                own = listOf("served"),
                around = listOf(
                    "group g: survey, because most daemons can't reach i-77aa",
                    "leaders that give no answer: [i-77aa]",
                ),
            ),
            LogCase("an id that nobody wrote", "zz"),
        )
    }
}
