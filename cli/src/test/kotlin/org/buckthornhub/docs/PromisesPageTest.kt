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
            File("..")
                .listFiles { file -> File(file, "src/test/kotlin").isDirectory }
                .orEmpty()
                .flatMap { module -> File(module, "src/test/kotlin").walk().map { it.nameWithoutExtension } }
                .toSet()
        assertTrue(namedTests.isNotEmpty())
        assertEquals(emptySet(), namedTests - existingTests)
    }
}
