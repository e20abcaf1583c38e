package org.buckthornhub.settings

import com.github.michaelbull.result.mapBoth
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.StringLength
import kotlin.test.assertTrue

/** The loader returns settings or errors for any input, and never throws. */
internal class SettingsFuzzTest {
    @Property(tries = 500, seed = "41")
    fun `any text gives settings or errors`(@ForAll @StringLength(max = 200) text: String) {
        SettingsLoader().load(text).mapBoth(success = {}, failure = { assertTrue(it.isNotEmpty()) })
    }

    @Property(tries = 500, seed = "42")
    fun `any value of a known key gives settings or errors`(@ForAll @StringLength(max = 40) value: String, @ForAll index: Int) {
        val key = SettingDefinitions.ALL[Math.floorMod(index, SettingDefinitions.ALL.size)].key
        SettingsLoader().load("$key = $value\n").mapBoth(success = {}, failure = { assertTrue(it.isNotEmpty()) })
    }
}
