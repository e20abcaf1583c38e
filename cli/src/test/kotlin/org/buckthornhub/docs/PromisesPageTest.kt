package org.buckthornhub.docs

import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** The page of the promises names tests that exist. */
internal class PromisesPageTest {
    @Test
    fun `every test that the page names is there`() {
        val named = Regex("`(\\w+Test)`").findAll(File("../docs/PROMISES.md").readText()).map { it.groupValues[1] }.toSet()
        val written =
            File("..")
                .listFiles { file -> File(file, "src/test/kotlin").isDirectory }
                .orEmpty()
                .flatMap { module -> File(module, "src/test/kotlin").walk().map { it.nameWithoutExtension } }
                .toSet()
        assertTrue(named.isNotEmpty())
        assertEquals(emptySet(), named - written)
    }
}
