package org.buckthornhub.settings

import com.github.michaelbull.result.mapBoth
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.Codepoint
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.map
import io.kotest.property.arbitrary.string
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import kotlin.test.Test
import kotlin.test.assertTrue

/** The loader returns settings or errors for any input, and never throws. */
internal class SettingsFuzzTest {
    @Test
    fun `any text gives settings or errors`(): Unit = runBlocking {
        checkAll(PropTestConfig(seed = 41, iterations = 500), anyText(maxChars = 200)) { text ->
            SettingsLoader().load(text).mapBoth(success = {}, failure = { assertTrue(it.isNotEmpty()) })
        }
    }

    @Test
    fun `any value of a known key gives settings or errors`(): Unit = runBlocking {
        checkAll(PropTestConfig(seed = 42, iterations = 500), anyText(maxChars = 40), Arb.int()) { value, index ->
            val key = SettingDefinitions.ALL[Math.floorMod(index, SettingDefinitions.ALL.size)].key
            SettingsLoader().load("$key = $value\n").mapBoth(success = {}, failure = { assertTrue(it.isNotEmpty()) })
        }
    }

    private companion object {
        private fun anyText(maxChars: Int) = Arb.string(0..maxChars, Arb.int(0..Char.MAX_VALUE.code).map { Codepoint(it) })
    }
}
