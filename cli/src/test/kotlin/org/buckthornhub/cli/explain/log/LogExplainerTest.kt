package org.buckthornhub.cli.explain.log

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

/** Explanations of requests from the logs of a fleet. */
internal class LogExplainerTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `the explanation contains exactly the lines that concern the request`(case: LogCase) {
        val read = LogFile.read(texts.asSequence())
        val found = LogExplainer.explain(read.lines, case.id)
        assertEquals(case.own, found.own.map { it.fields["kind"] ?: "served" })
        assertEquals(case.related, found.related.map { it.message })
        assertEquals(case.similar, found.similar)
    }

    @Test
    fun `truncated lines and lines of other programs are counted and skipped`() {
        assertEquals(3, LogFile.read(texts.asSequence()).skipped)
        val text = LogExplanationText.linesOf("a1", LogExplainer.explain(LogFile.read(texts.asSequence()).lines, "a1"), skipped = 3)
        assertEquals("3 lines were skipped: not from a daemon, or cut", text.last())
    }

    @Test
    fun `each line of arbitrary bytes is either parsed or skipped`() {
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

        private fun event(at: Long, vm: String, message: String) =
            "$vm {\"timestamp\":$at,\"level\":\"INFO\",\"loggerName\":\"x\",\"message\":\"$message\"}"

        val texts = listOf(
            event(10_000, "edge-1", "edge-1 serves callers"),
            failed(20_000, "edge-1", "a1", "OUTCOME_UNKNOWN", "i-77aa gave no answer: reset"),
            failed(20_400, "edge-2", "a2", "OUTCOME_UNKNOWN", "i-77aa gave no answer: reset"),
            failed(20_500, "edge-2", "a3", "RATE_EXCEEDED", "organisation o1 is over its rate"),
            event(21_000, "core-1", "group g: survey, because most daemons can't reach i-77aa"),
            event(21_500, "core-1", "group h: survey, because most daemons can't reach i-99"),
            event(22_000, "edge-1", "leaders that give no answer: [i-77aa]"),
            "edge-1 {\"timestamp\":22100,\"message\":\"request-served\",\"kvpList\":[{\"request\":\"a4\"},{\"target\":\"i-77aa\"}]}",
            event(40_000, "core-1", "group g: promoted i-88, because most daemons can't reach i-77aa"),
            "Picked up JAVA_TOOL_OPTIONS: -Dx=y",
            "{\"level\":\"INFO\",\"message\":\"of another program\"}",
            "edge-1 {\"timestamp\":23000,\"level\":\"WARN\",\"mess",
        )

        @JvmStatic
        fun cases(): List<LogCase> = listOf(
            LogCase(
                "a write with an unknown outcome is related to the instance",
                "a1",
                own = listOf("OUTCOME_UNKNOWN"),
                related = listOf(
                    "group g: survey, because most daemons can't reach i-77aa",
                    "leaders that give no answer: [i-77aa]",
                ),
                similar = mapOf("edge-2" to 1),
            ),
            LogCase("a refusal at a daemon that logged no event", "a3", own = listOf("RATE_EXCEEDED")),
            LogCase(
                "a served request",
                "a4",
                own = listOf("served"),
                related = listOf(
                    "group g: survey, because most daemons can't reach i-77aa",
                    "leaders that give no answer: [i-77aa]",
                ),
            ),
            LogCase("an id that no line contains", "zz"),
        )
    }
}
