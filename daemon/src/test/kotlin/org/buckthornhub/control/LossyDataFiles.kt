package org.buckthornhub.control

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import java.io.IOException
import kotlin.random.Random

/** Files in memory that lose names with the power: each name that was changed since the last sync of the folder may be as before it. */
internal class LossyDataFiles : DataFiles {
    /** Number of changes that are carried out before the process is killed; null if it isn't. */
    var changesLeft: Int? = null
    private var names: PersistentMap<String, Int> = persistentMapOf()
    private var syncedNames: PersistentMap<String, Int> = persistentMapOf()
    private var contents: PersistentMap<Int, ByteArray> = persistentMapOf()

    /** Takes back each change of a name since the last [syncFolder], or keeps it, by [random]. */
    fun losePower(random: Random) {
        val changed = (names.keys + syncedNames.keys).filter { names[it] != syncedNames[it] }
        changed.filter { random.nextBoolean() }.forEach { name ->
            val before = syncedNames[name]
            names = if (before == null) names.remove(name) else names.put(name, before)
        }
        syncedNames = names
    }

    fun delete(name: String) {
        names = names.remove(name)
    }

    override fun toString(): String = "files in memory"

    override fun read(name: String): ByteArray? = names[name]?.let { contents[it] }

    override fun write(name: String, bytes: ByteArray) {
        count()
        val file = names[name] ?: contents.size.also { names = names.put(name, it) }
        contents = contents.put(file, bytes)
    }

    override fun append(name: String, bytes: ByteArray) = update(name) { it + bytes }

    override fun truncate(name: String, length: Long) = update(name) { it.copyOf(length.toInt()) }

    override fun rename(from: String, to: String) {
        count()
        names = names.remove(from).put(to, names.getValue(from))
    }

    override fun syncFolder() {
        count()
        syncedNames = names
    }

    private fun update(name: String, change: (ByteArray) -> ByteArray) {
        count()
        val file = names.getValue(name)
        contents = contents.put(file, change(contents.getValue(file)))
    }

    private fun count() {
        val left = changesLeft ?: return
        if (left == 0) throw IOException("the process was killed")
        changesLeft = left - 1
    }
}
