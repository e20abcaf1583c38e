package org.buckthornhub.control

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.collections.immutable.toPersistentList
import org.buckthornhub.fleet.VmId
import org.buckthornhub.replication.DurableRecord
import org.buckthornhub.replication.DurableRecords
import org.buckthornhub.replication.EntryContent
import org.buckthornhub.replication.LogEntry
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNotNull

// Guards against a control VM that loses power and comes back as the same member without what it had acknowledged.
internal class LostNameTest {
    private val vm = VmId("vm1")

    @ParameterizedTest
    @MethodSource("cases")
    fun `what was synced is there after a loss of power`(case: LostNameCase) = (1..SEEDS).forEach { seed ->
        val random = Random(seed)
        val files = LossyDataFiles()
        repeat(case.starts) {
            open(files, seed)
            files.losePower(random)
        }
        val first = open(files, seed)
        first.storage.run(case.store)
        files.losePower(random)
        val second = open(files, seed)
        assertEquals(first.self, second.self, "seed $seed")
        assertEquals(case.records, second.state.log.entries.size, "seed $seed")
    }

    @Test
    fun `a member whose records are gone is another member`() {
        val files = LossyDataFiles()
        val first = open(files, seed = 0)
        first.storage.append(entries(1..3))
        files.delete(FolderStorage.RECORDS)
        val second = open(files, seed = 0)
        assertNotEquals(first.self, second.self)
        second.storage.append(entries(1..2))
        assertEquals(second.self, open(files, seed = 0).self)
    }

    @ParameterizedTest
    @ValueSource(ints = [0, 1, 2, 3, 4, 5])
    fun `a start that is cut short gives no former member back`(changes: Int) = (1..SEEDS).forEach { seed ->
        val files = LossyDataFiles()
        val first = open(files, seed)
        first.storage.append(entries(1..3))
        files.delete(FolderStorage.RECORDS)
        files.changesLeft = changes
        runCatching { FolderStorage.open(files, vm) }
        files.losePower(Random(seed))
        files.changesLeft = null
        val later = open(files, seed)
        if (later.self == first.self) assertEquals(3, later.state.log.entries.size, "seed $seed")
    }

    private fun open(files: DataFiles, seed: Int): OpenedStorage {
        val opened = FolderStorage.open(files, vm)
        return assertNotNull(opened.get(), "seed $seed: ${opened.getError()}")
    }

    private companion object {
        const val SEEDS = 64

        fun entries(indexes: IntRange) =
            indexes.map { DurableRecord.Entry(LogEntry(it.toLong(), 1, EntryContent.Members(emptySet()))) }.toPersistentList()

        fun rewritten(count: Int) = DurableRecords.recordsOf(DurableRecords.replay(entries(1..count)))

        @JvmStatic
        fun cases(): List<LostNameCase> = listOf(
            LostNameCase("first append", starts = 0, records = 1) { append(entries(1..1)) },
            LostNameCase("several appends", starts = 0, records = 3) {
                append(entries(1..2))
                append(entries(3..3))
            },
            LostNameCase("first append after starts without any", starts = 3, records = 1) { append(entries(1..1)) },
            LostNameCase("rewrite", starts = 0, records = 2) { rewrite(rewritten(2)) },
            LostNameCase("append, then rewrite", starts = 0, records = 2) {
                append(entries(1..5))
                rewrite(rewritten(2))
            },
            LostNameCase("rewrite, then append", starts = 1, records = 3) {
                rewrite(rewritten(2))
                append(entries(3..3))
            },
        )
    }
}
