package org.buckthornhub.cli.check

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.io.ByteArrayOutputStream
import java.io.File
import java.io.PrintStream
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against a check that accepts what control VMs would refuse, or whose exit code hides it from scripts. */
internal class CheckCommandTest {
    @TempDir
    lateinit var folder: File

    @ParameterizedTest
    @MethodSource("cases")
    fun `the exit code and the output tell what is wrong`(case: CheckCase) {
        val command = CheckCommand().apply {
            file = File(folder, "new.json").apply { writeText(case.document) }.path
            against = case.inForce?.let { text -> File(folder, "old.json").apply { writeText(text) }.path }
            json = case.asJson
        }
        val (code, output) = run(command)
        assertEquals(case.exitCode, code, output)
        assertTrue(case.output in output, output)
    }

    @Test
    fun `a missing file is a usage error`() {
        assertEquals(2, run(CheckCommand().apply { file = File(folder, "none.json").path }).first)
    }

    private fun run(command: CheckCommand): Pair<Int, String> {
        val out = System.out
        val bytes = ByteArrayOutputStream()
        System.setOut(PrintStream(bytes))
        return try {
            runBlocking { command.run() } to bytes.toString().also { System.out.flush() }
        } finally {
            System.setOut(out)
        }
    }

    private companion object {
        private const val ROUTES = """"routes":[{"name":"r","host":"d","type":"primary","timeout-ms":100,"service":"g"}]"""
        private const val REST = """"services":[{"name":"g","max-conns":9}],"tenants":[{"name":"o","api-keys":["secret"],"rate-per-s":5}]"""
        private const val VALID = """{"version":2,$ROUTES,$REST}"""

        @JvmStatic
        fun cases(): List<CheckCase> = listOf(
            CheckCase("valid", VALID, 0, "new.json: 0 errors, 0 warnings, 0 changes"),
            CheckCase(
                "refused",
                VALID.replace("\"service\":\"g\"", "\"service\":\"x\""),
                1,
                "new.json:1: error: route r names the unknown group x",
            ),
            CheckCase("unreadable", "{\n", 1, "error: the document can't be read"),
            CheckCase(
                "a warning alone",
                VALID.replace("max-conns\":9", "max-conns\":0"),
                0,
                "1:1: warning: group g: 0 connections".drop(1),
            ),
            CheckCase(
                "a change",
                VALID,
                0,
                "1 keys are withdrawn",
                VALID.replace("\"secret\"", "\"secret\",\"second\"").replace("n\":2", "n\":1"),
            ),
            CheckCase("json", VALID.replace("max-conns\":9", "max-conns\":0"), 0, "\"severity\":\"warning\",\"line\":1", asJson = true),
        )
    }
}
