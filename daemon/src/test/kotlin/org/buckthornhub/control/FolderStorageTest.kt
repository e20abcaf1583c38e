package org.buckthornhub.control

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.collections.immutable.toPersistentList
import org.buckthornhub.fleet.VmId
import org.buckthornhub.replication.DurableRecord
import org.buckthornhub.replication.DurableRecords
import org.buckthornhub.replication.EntryContent
import org.buckthornhub.replication.LogEntry
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

internal class FolderStorageTest {
    @TempDir
    lateinit var folder: File

    private val vm = VmId("vm1")

    @ParameterizedTest
    @MethodSource("cases")
    fun `a folder is opened or refused as its case says`(case: FolderCase) {
        val first = assertNotNull(FolderStorage.open(folder, vm).get())
        first.storage.append(entries(1..5))
        case.happen(folder)
        val second = FolderStorage.open(folder, vm)
        val fault = case.fault
        if (fault != null) return assertTrue(fault in second.getError()?.detail.orEmpty(), "${second.getError()}")
        val opened = assertNotNull(second.get(), "${second.getError()}")
        assertEquals(case.records, opened.state.log.entries.size)
        assertEquals(first.self, opened.self)
        opened.storage.append(entries(case.records + 1..case.records + 1))
        assertEquals(case.records + 1, FolderStorage.open(folder, vm).get()?.state?.log?.entries?.size)
    }

    @Test
    fun `a folder that was lost is followed by another disk`() {
        val first = assertNotNull(FolderStorage.open(folder, vm).get())
        folder.listFiles().orEmpty().forEach { it.delete() }
        assertNotEquals(first.self, FolderStorage.open(folder, vm).get()?.self)
    }

    @Test
    fun `a replacement takes the place of all records`() {
        val opened = assertNotNull(FolderStorage.open(folder, vm).get())
        opened.storage.append(entries(1..5))
        val state = DurableRecords.replay(entries(1..2))
        opened.storage.rewrite(DurableRecords.recordsOf(state))
        assertEquals(state, FolderStorage.open(folder, vm).get()?.state)
    }

    private fun entries(indexes: IntRange) =
        indexes.map { DurableRecord.Entry(LogEntry(it.toLong(), 1, EntryContent.Members(emptySet()))) }.toPersistentList()

    private companion object {
        private fun records(folder: File) = File(folder, FolderStorage.RECORDS)

        private fun mark(folder: File) = File(folder, FolderStorage.MARK)

        @JvmStatic
        fun cases(): List<FolderCase> = listOf(
            FolderCase("nothing", fault = null, records = 5) {},
            FolderCase("torn tail", fault = null, records = 4) { records(it).writeText(records(it).readText().dropLast(7)) },
            FolderCase("tail of zeros", fault = null, records = 5) { records(it).appendText("\u0000\u0000\u0000\u0000") },
            FolderCase("only a part of the first record", fault = null, records = 0) { records(it).writeText("ab12") },
            FolderCase("damaged middle", "damaged in record 2 of 5", 0) { folder ->
                val lines = records(folder).readLines()
                val damaged = lines.mapIndexed { i, line -> if (i == 1) line.replace("index", "inbex") else line }
                records(folder).writeText(damaged.joinToString("\n", postfix = "\n"))
            },
            FolderCase("damaged whole record at the end", "damaged in record 5 of 5", 0) {
                records(it).writeText(records(it).readText().dropLast(3) + "x}\n")
            },
            FolderCase("folder of another VM", "belongs to VM vm2", 0) { mark(it).writeText(mark(it).readText().replace("vm1", "vm2")) },
            FolderCase("newer format", "has format 2", 0) {
                mark(it).writeText(mark(it).readText().replace("\"format\":1", "\"format\":2"))
            },
            FolderCase("no mark", "holds records but no", 0) { mark(it).delete() },
            FolderCase("damaged mark", "is damaged", 0) { mark(it).writeText("{") },
        )
    }
}
