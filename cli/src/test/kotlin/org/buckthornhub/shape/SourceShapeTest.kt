package org.buckthornhub.shape

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Enforces the structural rules for the code of all modules; see docs/DEVELOPERS.md. */
internal class SourceShapeTest {
    @ParameterizedTest
    @MethodSource("rules")
    fun `sources follow the rule`(rule: SourceRule) {
        val violations =
            sources()
                .filterNot { rule.isAllowedIn(it.invariantSeparatorsPath) }
                .flatMap { file -> violations(file, rule) }
        assertEquals(emptyList(), violations)
    }

    @Test
    fun `the rules detect violations`() {
        val file = File.createTempFile("shape", ".kt")
        file.writeText("val a = mutableListOf<Int>()\nval b = synchronized(this) {}\nThread.sleep(1)\nSystem.nanoTime()\n")
        assertTrue(rules().count { violations(file, it).isNotEmpty() } >= 4)
        file.delete()
    }

    private fun violations(file: File, rule: SourceRule): List<String> = file
        .readLines()
        .map { it.substringBefore("//") }
        .withIndex()
        .filter { (_, line) -> !line.trimStart().startsWith("*") && rule.pattern.containsMatchIn(line) }
        .map { (index, line) -> "${file.path}:${index + 1}: ${line.trim()}" }

    private fun sources(): List<File> = File("..")
        .listFiles { file -> File(file, "src/main/kotlin").isDirectory }
        .orEmpty()
        .flatMap { module -> File(module, "src/main/kotlin").walk().filter { it.extension == "kt" } }

    private companion object {
        private const val MODIFIERS = "(?:(?:public|internal|private|sealed|data|enum|annotation|value|abstract|open|fun|inline) +)*"

        /** Modules whose code decides and does no I/O. */
        private val decisionModules = listOf("core", "balancing")

        private val topLevelType = Regex("^$MODIFIERS(?:class|interface|object) +\\w+")

        @JvmStatic
        fun rules(): List<SourceRule> = listOf(
            SourceRule("no lock", Regex("\\b(Mutex|ReentrantLock|Semaphore)\\b|\\bsynchronized\\s*\\(|@Synchronized|@Volatile")),
            SourceRule("no atomic", Regex("\\bAtomic(Int|Integer|Long|Boolean|Reference)\\b|ConcurrentHashMap")),
            SourceRule("no blocked or spinning thread", Regex("\\bThread\\.(sleep|yield|onSpinWait)")),
            SourceRule(
                "no mutable collection",
                Regex(
                    "\\b(mutableListOf|mutableMapOf|mutableSetOf|ArrayList|HashMap|ArrayDeque|LinkedHashMap|Mutable(List|Map|Set))\\b",
                ),
            ),
            SourceRule(
                "no clock read outside the clock type",
                Regex("System\\.(nanoTime|currentTimeMillis)|Instant\\.now|\\bTimeSource\\b|measureTime"),
            ) { it.endsWith("/clock/SystemClock.kt") },
            SourceRule(
                "no I/O in decisions",
                Regex("^import (java\\.(io|nio|net)|io\\.ktor|kotlinx\\.io|org\\.slf4j|io\\.github\\.oshai)\\b"),
            ) { path -> decisionModules.none { path.contains("../$it/") } },
            SourceRule("no host name of a registry or a file banner", Regex("^/\\* *(Copyright|Licen)")),
        )
    }

    @Test
    fun `each file contains one type`() {
        val filesWithSeveralTypes = sources().filter { file -> file.readLines().count { topLevelType.containsMatchIn(it) } > 1 }
        assertEquals(emptyList(), filesWithSeveralTypes)
    }
}
