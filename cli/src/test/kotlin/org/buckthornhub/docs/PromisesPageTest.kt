package org.buckthornhub.docs

import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** docs/PROMISES.md refers only to tests that exist. */
internal class PromisesPageTest {
    @Test
    fun `every test named on the page exists`() {
        val namedTests = Regex("`(\\w+Test)`").findAll(File("../docs/PROMISES.md").readText()).map { it.groupValues[1] }.toSet()
        val existingTests =
            modules()
                .flatMap { module -> File(module, "src/test/kotlin").walk().map { it.nameWithoutExtension } }
                .toSet()
        assertTrue(namedTests.isNotEmpty())
        assertEquals(emptySet(), namedTests - existingTests)
    }

    // A module may contain others, as platform does.
    private fun modules(): List<File> = listOf(File(".."), File("../platform"))
        .flatMap { it.listFiles { file -> File(file, "src/test/kotlin").isDirectory }.orEmpty().toList() }
}
